package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.AnswerProgress;
import org.hornbeampass.coordination.platform.EraGuard;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.service.PrepaidOrganisation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * Several VMs with callers and an unreliable store, driven by one seed.
 *
 * <p>Writes may be applied without a reply, or long after the caller gave up. VMs are killed and
 * restarted without any state. Not thread-safe.
 */
final class RandomizedEscrowFleet {
    static final String ORGANISATION = "org";

    /**
     * With restorations, one in this many kills and raised budgets takes place: tokens that are
     * written off or added would hide those that are granted twice.
     */
    private static final int STEPS_PER_LASTING_CHANGE = 20;

    private final Random mRandom;
    private final MemoryPlatform mStore = new MemoryPlatform(1);
    private final List<Vm> mVms = new ArrayList<>();
    private final List<Runnable> mDelayed = new ArrayList<>();
    private final List<PlatformReply> mFormerReads = new ArrayList<>();
    private long mNowMs = 1_000;
    private long mPrepaid;
    private long mUsedTokens;
    private long mReservedTokens;
    private int mIncarnations;
    private int mFalseExhaustions;
    private boolean mFaultsEnabled = true;
    private boolean mHomesRandom;
    private boolean mRestoresEnabled;
    private boolean mLossOfAllVmsEnabled;
    private final Deque<TimedCopy> mRecentCopies = new ArrayDeque<>();
    private int mLivesAtCopy = Integer.MAX_VALUE;
    private final List<KnownCopy> mCopies = new ArrayList<>();

    /** A copy of the store, and how many VMs had been started when it was taken. */
    private record KnownCopy(MemoryPlatform.Copy copy, int lives) {}

    /** A copy of the store, and when it was taken. */
    private record TimedCopy(MemoryPlatform.Copy copy, long atMs) {}

    /** A request in progress at a VM. */
    private record RunningRequest(long reserved) {}

    /** A VM with its current incarnation. */
    private final class Vm {
        private final String mName;
        private final List<RunningRequest> mRunning = new ArrayList<>();
        private EraGuard mStoreClient;
        private EscrowBook mBook;
        private long mConfiguredBudget;
        private int mLife;

        Vm(String name) {
            mName = name;
            start();
        }

        void start() {
            mReservedTokens -= mRunning.stream().mapToLong(RunningRequest::reserved).sum();
            // Requests in progress at a killed VM may have been answered in full.
            mUsedTokens += mRunning.stream().mapToLong(RunningRequest::reserved).sum();
            mRunning.clear();
            mLife = mIncarnations;
            mStoreClient = new EraGuard(new UnreliableStore());
            mBook =
                    new EscrowBook(
                            mStoreClient,
                            new EscrowOwner(mName, "life-" + mIncarnations++),
                            1,
                            new RandomHomes(),
                            GrantListener.NONE);
            EscrowBook book = mBook;
            mStoreClient.addListener((nowMs, former, era) -> book.onEra(nowMs, era));
            mBook.setNoticeListener(notice -> sendNotice(this, notice));
            configure();
        }

        void configure() {
            mConfiguredBudget = mPrepaid;
            mBook.onOrganisations(
                    List.of(
                            new PrepaidOrganisation(
                                    ORGANISATION, List.of("key"), 0, OptionalLong.of(mPrepaid))));
        }
    }

    /** Every VM is a home, or, if homes are randomized, a random result at each call. */
    private final class RandomHomes implements PoolHomes {
        @Override
        public boolean isHome(int pool) {
            return !mHomesRandom || !mFaultsEnabled || mRandom.nextBoolean();
        }

        @Override
        public int homeCount(int pool) {
            return mHomesRandom ? 1 + mRandom.nextInt(mVms.size() + 1) : mVms.size() + 1;
        }

        @Override
        public List<String> otherHomes(int pool) {
            return mHomesRandom ? List.of("another") : List.of();
        }

        @Override
        public List<String> otherVms() {
            return List.of();
        }
    }

    /** One incarnation's connection to the store, which may fail or delay calls. */
    private final class UnreliableStore implements Platform {
        @Override
        public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
            if (call instanceof PlatformCall.Get get && get.allowsStale()) {
                readStale(nowMs, get, done);
                return;
            }
            int outcome = mFaultsEnabled ? mRandom.nextInt(10) : 9;
            if (outcome == 0) {
                done.accept(nowMs, new PlatformReply.Unavailable("not applied"));
            } else if (outcome == 1) {
                mStore.submit(nowMs, call, (t, lost) -> {});
                done.accept(nowMs, new PlatformReply.Unavailable("applied without a reply"));
            } else if (outcome == 2) {
                mDelayed.add(() -> mStore.submit(mNowMs, call, (t, lost) -> {}));
                done.accept(nowMs, new PlatformReply.Unavailable("applied later"));
            } else if (outcome == 3) {
                done.accept(nowMs, new PlatformReply.Throttled());
            } else if (outcome == 4) {
                mDelayed.add(() -> mStore.submit(mNowMs, call, done));
            } else {
                mStore.submit(nowMs, call, done);
            }
        }

        @Override
        public Runnable submit(
                long nowMs,
                PlatformCall call,
                AnswerProgress progress,
                BiConsumer<Long, PlatformReply> done) {
            submit(
                    nowMs,
                    call,
                    (t, reply) -> {
                        if (reply instanceof PlatformReply.Missing) {
                            progress.onEra(t, mStore.era());
                        }
                        done.accept(t, reply);
                    });
            return () -> {};
        }
    }

    /** Answers a read that may be stale with any earlier state of the record. */
    private void readStale(long nowMs, PlatformCall.Get get, BiConsumer<Long, PlatformReply> done) {
        mStore.submit(
                nowMs,
                get,
                (t, reply) -> {
                    mFormerReads.add(reply);
                    boolean stale = mFaultsEnabled && mRandom.nextBoolean();
                    int index =
                            stale ? mRandom.nextInt(mFormerReads.size()) : mFormerReads.size() - 1;
                    done.accept(t, mFormerReads.get(index));
                });
    }

    RandomizedEscrowFleet(long seed, int vms, long prepaid) {
        mRandom = new Random(seed);
        mPrepaid = prepaid;
        for (int i = 0; i < vms; i++) {
            mVms.add(new Vm("vm-" + i));
        }
    }

    /** Performs one random action. */
    void step() {
        mNowMs += mRandom.nextInt(300);
        if (mRestoresEnabled) {
            restoreAtRandom();
        }
        if (mLossOfAllVmsEnabled) {
            loseAllVmsAtRandom();
        }
        Vm vm = mVms.get(mRandom.nextInt(mVms.size()));
        int action = mRandom.nextInt(mHomesRandom ? 25 : 22);
        boolean lasting = action == 18 || action == 19;
        boolean rare =
                (mRestoresEnabled || mLossOfAllVmsEnabled)
                        && mRandom.nextInt(STEPS_PER_LASTING_CHANGE) > 0;
        if (lasting && (rare || isLastThatKnows(vm))) {
            return;
        }
        if (action >= 22) {
            transferUnneeded(vm, mVms.get(mRandom.nextInt(mVms.size())));
        } else if (action >= 20) {
            lend(vm, mVms.get(mRandom.nextInt(mVms.size())));
        } else if (action < 9) {
            request(vm, 1 + mRandom.nextInt(400));
        } else if (action < 14) {
            finishOne(vm);
        } else if (action < 16) {
            mVms.forEach(v -> v.mBook.tick(mNowMs));
        } else if (action < 18) {
            runDelayed();
        } else if (action == 18) {
            vm.start();
        } else {
            changeFleet(vm);
        }
    }

    /** Returns whether no other VM knows what was granted since the restored copy was taken. */
    private boolean isLastThatKnows(Vm vm) {
        return mRestoresEnabled && mVms.stream().noneMatch(v -> v != vm && v.mLife < mLivesAtCopy);
    }

    /** Takes a copy, restores one, or lets a VM learn that the store was restored. */
    private void restoreAtRandom() {
        int action = mRandom.nextInt(40);
        mCopies.removeIf(c -> mVms.stream().noneMatch(v -> v.mLife < c.lives()));
        if (action == 0) {
            mCopies.add(new KnownCopy(mStore.copy(), mIncarnations));
        } else if (action == 1 && !mCopies.isEmpty()) {
            KnownCopy copy = mCopies.get(mRandom.nextInt(mCopies.size()));
            mLivesAtCopy = copy.lives();
            restoreStore(copy.copy());
        } else if (action < 10) {
            learnEra(mRandom.nextInt(mVms.size()));
        }
    }

    /** Takes a copy, or lets all VMs end as the store is restored from one that is still used. */
    private void loseAllVmsAtRandom() {
        mRecentCopies.removeIf(c -> mNowMs - c.atMs() > GrantCeilings.MAX_COPY_AGE_MS);
        int action = mRandom.nextInt(60);
        if (action < 3) {
            mRecentCopies.add(new TimedCopy(mStore.copy(), mNowMs));
        } else if (action == 3 && !mRecentCopies.isEmpty()) {
            restoreStore(mRecentCopies.getFirst().copy());
            mDelayed.clear();
            mVms.forEach(Vm::start);
            mVms.forEach(v -> v.mStoreClient.onEra(mNowMs, mStore.era()));
        }
    }

    /** Lends tokens from one VM to another; the reply may be lost, or arrive after a restart. */
    private void lend(Vm from, Vm to) {
        EscrowBook borrower = to.mBook;
        long asked = 1L + mRandom.nextInt(300);
        long needed = mRandom.nextBoolean() ? asked : 0;
        from.mBook.lend(
                mNowMs,
                new LoanRequest(ORGANISATION, needed, asked, mRandom.nextBoolean()),
                reply -> deliver(() -> borrower.onLoanReply(mNowMs, reply)));
    }

    /** Transfers the tokens that a VM does not need as a non-home to another VM. */
    private void transferUnneeded(Vm from, Vm to) {
        EscrowBook receiver = to.mBook;
        from.mBook
                .takeTransfers(mNowMs)
                .values()
                .forEach(list -> list.forEach(t -> deliver(() -> receiver.onTransfer(mNowMs, t))));
    }

    /** Delivers a message between VMs immediately, later or never. */
    private void deliver(Runnable message) {
        int outcome = mFaultsEnabled ? mRandom.nextInt(3) : 2;
        if (outcome == 1) {
            mDelayed.add(message);
        } else if (outcome == 2) {
            message.run();
        }
    }

    /** Tells the other VMs what one has written; the homes that are up receive it at once. */
    private void sendNotice(Vm from, RecordNotice notice) {
        mVms.stream().filter(v -> v != from).forEach(v -> v.mBook.onNotice(notice));
    }

    private void changeFleet(Vm vm) {
        int action = mRandom.nextInt(3);
        if (action == 0) {
            mPrepaid += mRandom.nextInt(2_000);
            vm.configure();
        } else if (action == 1) {
            vm.mBook.startReturningTokens(mNowMs);
            vm.start();
        } else if (!mRestoresEnabled) {
            mVms.forEach(Vm::start);
        }
    }

    private void runDelayed() {
        if (!mDelayed.isEmpty()) {
            mDelayed.remove(mRandom.nextInt(mDelayed.size())).run();
        }
    }

    /** Tries to start a request and returns the result of its admission. */
    private Admission request(Vm vm, long tokens) {
        Admission admission = vm.mBook.admit(mNowMs, ORGANISATION, tokens);
        if (admission == Admission.EXHAUSTED && vm.mConfiguredBudget - mUsedTokens >= tokens) {
            mFalseExhaustions++;
        }
        if (admission == Admission.RESERVED) {
            vm.mRunning.add(new RunningRequest(tokens));
            mReservedTokens += tokens;
        }
        return admission;
    }

    Admission request(int vm, long tokens) {
        return request(mVms.get(vm), tokens);
    }

    private void finishOne(Vm vm) {
        if (vm.mRunning.isEmpty()) {
            return;
        }
        RunningRequest running = vm.mRunning.remove(mRandom.nextInt(vm.mRunning.size()));
        long used = mRandom.nextLong(running.reserved() + 1);
        vm.mBook.settle(mNowMs, ORGANISATION, running.reserved(), used);
        mReservedTokens -= running.reserved();
        mUsedTokens += used;
    }

    /** Ends all requests in progress at a VM, each of which used all of its reserved tokens. */
    void finishAllUsingAll(int vm) {
        finishAll(vm, Long.MAX_VALUE);
    }

    /** Ends all requests in progress at a VM, each of which used at most the given tokens. */
    void finishAll(int vm, long maxTokens) {
        Vm target = mVms.get(vm);
        for (RunningRequest running : target.mRunning) {
            long used = Math.min(maxTokens, running.reserved());
            target.mBook.settle(mNowMs, ORGANISATION, running.reserved(), used);
            mReservedTokens -= running.reserved();
            mUsedTokens += used;
        }
        target.mRunning.clear();
    }

    /** Runs all VMs for the given time without faults. */
    void runWithoutFaults(long ms) {
        mFaultsEnabled = false;
        while (!mDelayed.isEmpty()) {
            mDelayed.remove(0).run();
        }
        for (long t = 0; t < ms; t += 100) {
            mNowMs += 100;
            mVms.forEach(v -> v.mBook.tick(mNowMs));
        }
    }

    /** Raises the budget on all VMs. */
    void raiseBudget(long tokens) {
        mPrepaid += tokens;
        mVms.forEach(Vm::configure);
    }

    /** Makes the result of whether a VM is a home random at each call. */
    void randomizeHomes() {
        mHomesRandom = true;
    }

    /**
     * Makes steps restore the store from copies since which at least one VM has been up, so that
     * some VM knows what was granted since.
     */
    void enableRestores() {
        mRestoresEnabled = true;
    }

    /**
     * Makes steps end all VMs at the moment at which the store is restored from a copy that is at
     * most {@link GrantCeilings#MAX_COPY_AGE_MS} old.
     */
    void enableLossOfAllVms() {
        mLossOfAllVmsEnabled = true;
    }

    void enableFaults() {
        mFaultsEnabled = true;
    }

    /** Returns a copy of the store's objects, for {@link #restoreStore}. */
    MemoryPlatform.Copy copyStore() {
        return mStore.copy();
    }

    /** Restores the store from a copy, which loses everything written since. */
    void restoreStore(MemoryPlatform.Copy copy) {
        mStore.restore(mNowMs, copy);
        mFormerReads.clear();
    }

    /** Lets a VM learn that the store was restored, as its views of the store do. */
    void learnEra(int vm) {
        mVms.get(vm).mStoreClient.onEra(mNowMs, mStore.era());
    }

    int vms() {
        return mVms.size();
    }

    void restart(int vm) {
        mVms.get(vm).start();
    }

    void startReturningTokens(int vm) {
        mVms.get(vm).mBook.startReturningTokens(mNowMs);
    }

    /**
     * Returns the tokens that can still be spent, as known to a VM that has just read the store.
     */
    long unspentTokens(int vm) {
        return mVms.get(vm).mBook.admissionState(mNowMs, ORGANISATION).unallocated() + freeTokens();
    }

    long freeTokens() {
        return mVms.stream().mapToLong(v -> v.mBook.holdings().get(ORGANISATION).free()).sum();
    }

    /** Returns the tokens that callers have used or may still use. */
    long usedOrReserved() {
        return mUsedTokens + mReservedTokens;
    }

    /**
     * Returns how often a budget was reported as used up although the requested tokens were
     * unspent.
     */
    int falseExhaustions() {
        return mFalseExhaustions;
    }

    long prepaid() {
        return mPrepaid;
    }
}
