package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.service.PrepaidOrganisation;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * Several VMs, an unreliable store and callers, driven by one seed.
 *
 * <p>Writes may be carried out without a reply, or long after their caller gave up; VMs are killed
 * and start again with nothing. Not thread-safe.
 */
final class RandomizedEscrowFleet {
    static final String ORGANISATION = "org";

    private final Random mRandom;
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final List<Vm> mVms = new ArrayList<>();
    private final List<Runnable> mLate = new ArrayList<>();
    private final List<PlatformReply> mStates = new ArrayList<>();
    private long mNowMs = 1_000;
    private long mPrepaid;
    private long mUsed;
    private long mReserved;
    private int mLives;
    private int mFalseProofs;
    private boolean mFaults = true;
    private boolean mHomesMove;

    /** A request that is in progress at a VM. */
    private record Running(long reserved) {}

    /** One VM with its present life. */
    private final class Vm {
        private final String mName;
        private final List<Running> mRunning = new ArrayList<>();
        private EscrowBook mBook;
        private long mLevel;

        Vm(String name) {
            mName = name;
            start();
        }

        void start() {
            mReserved -= mRunning.stream().mapToLong(Running::reserved).sum();
            // What was in progress at a killed VM may have been delivered whole.
            mUsed += mRunning.stream().mapToLong(Running::reserved).sum();
            mRunning.clear();
            Link link = new Link();
            mBook =
                    new EscrowBook(
                            link,
                            new EscrowOwner(mName, "life-" + mLives++),
                            1,
                            new MovingHomes(),
                            GrantListener.NONE);
            configure();
        }

        void configure() {
            mLevel = mPrepaid;
            mBook.onOrganisations(
                    List.of(
                            new PrepaidOrganisation(
                                    ORGANISATION, List.of("key"), 0, OptionalLong.of(mPrepaid))));
        }
    }

    /** All VMs are homes; where homes move, a VM is one or not at each look, as it is drawn. */
    private final class MovingHomes implements PoolHomes {
        @Override
        public boolean isHome(int pool) {
            return !mHomesMove || !mFaults || mRandom.nextBoolean();
        }

        @Override
        public int homeCount(int pool) {
            return mHomesMove ? 1 + mRandom.nextInt(mVms.size() + 1) : mVms.size() + 1;
        }

        @Override
        public List<String> otherHomes(int pool) {
            return mHomesMove ? List.of("another") : List.of();
        }

        @Override
        public List<String> otherVms() {
            return List.of();
        }
    }

    /** One life's way to the store. */
    private final class Link implements Platform {
        @Override
        public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
            if (call instanceof PlatformCall.Get get && get.allowsStale()) {
                peek(nowMs, get, done);
                return;
            }
            int fate = mFaults ? mRandom.nextInt(10) : 9;
            if (fate == 0) {
                done.accept(nowMs, new PlatformReply.Unavailable("nothing was done"));
            } else if (fate == 1) {
                mStore.submit(nowMs, call, (t, lost) -> {});
                done.accept(nowMs, new PlatformReply.Unavailable("done without a reply"));
            } else if (fate == 2) {
                mLate.add(() -> mStore.submit(mNowMs, call, (t, lost) -> {}));
                done.accept(nowMs, new PlatformReply.Unavailable("done later"));
            } else if (fate == 3) {
                done.accept(nowMs, new PlatformReply.Throttled());
            } else if (fate == 4) {
                mLate.add(() -> mStore.submit(mNowMs, call, done));
            } else {
                mStore.submit(nowMs, call, done);
            }
        }
    }

    /** Answers a read that may be old: with any former state of the record. */
    private void peek(long nowMs, PlatformCall.Get get, BiConsumer<Long, PlatformReply> done) {
        mStore.submit(
                nowMs,
                get,
                (t, reply) -> {
                    mStates.add(reply);
                    boolean old = mFaults && mRandom.nextBoolean();
                    int which = old ? mRandom.nextInt(mStates.size()) : mStates.size() - 1;
                    done.accept(t, mStates.get(which));
                });
    }

    RandomizedEscrowFleet(long seed, int vms, long prepaid) {
        mRandom = new Random(seed);
        mPrepaid = prepaid;
        for (int i = 0; i < vms; i++) {
            mVms.add(new Vm("vm-" + i));
        }
    }

    /** Does one thing at random. */
    void step() {
        mNowMs += mRandom.nextInt(300);
        Vm vm = mVms.get(mRandom.nextInt(mVms.size()));
        int what = mRandom.nextInt(mHomesMove ? 25 : 22);
        if (what >= 22) {
            handOver(vm, mVms.get(mRandom.nextInt(mVms.size())));
        } else if (what >= 20) {
            loan(vm, mVms.get(mRandom.nextInt(mVms.size())));
        } else if (what < 9) {
            request(vm, 1 + mRandom.nextInt(400));
        } else if (what < 14) {
            finish(vm);
        } else if (what < 16) {
            mVms.forEach(v -> v.mBook.tick(mNowMs));
        } else if (what < 18) {
            runLate();
        } else if (what == 18) {
            vm.start();
        } else {
            change(vm);
        }
    }

    /** Moves tokens from one VM to another; the reply may be lost, or find a new life. */
    private void loan(Vm from, Vm to) {
        EscrowBook borrower = to.mBook;
        long asked = 1L + mRandom.nextInt(300);
        long needed = mRandom.nextBoolean() ? asked : 0;
        from.mBook.lend(
                mNowMs,
                new LoanRequest(ORGANISATION, needed, asked, mRandom.nextBoolean()),
                reply -> deliver(() -> borrower.onLoan(mNowMs, reply)));
    }

    /** Moves what a VM that is no home does not need to another VM. */
    private void handOver(Vm from, Vm to) {
        EscrowBook receiver = to.mBook;
        from.mBook
                .takeGifts(mNowMs)
                .values()
                .forEach(gifts -> gifts.forEach(g -> deliver(() -> receiver.accept(mNowMs, g))));
    }

    /** Delivers a message between VMs now, later, or never. */
    private void deliver(Runnable message) {
        int fate = mFaults ? mRandom.nextInt(3) : 2;
        if (fate == 1) {
            mLate.add(message);
        } else if (fate == 2) {
            message.run();
        }
    }

    private void change(Vm vm) {
        int what = mRandom.nextInt(3);
        if (what == 0) {
            mPrepaid += mRandom.nextInt(2_000);
            vm.configure();
        } else if (what == 1) {
            vm.mBook.startReturningTokens(mNowMs);
            vm.start();
        } else {
            mVms.forEach(Vm::start);
        }
    }

    private void runLate() {
        if (!mLate.isEmpty()) {
            mLate.remove(mRandom.nextInt(mLate.size())).run();
        }
    }

    /** Tries to start a request, and returns what came of it. */
    private Admission request(Vm vm, long tokens) {
        Admission admission = vm.mBook.admit(mNowMs, ORGANISATION, tokens);
        if (admission == Admission.EXHAUSTED && vm.mLevel - mUsed >= tokens) {
            mFalseProofs++;
        }
        if (admission == Admission.RESERVED) {
            vm.mRunning.add(new Running(tokens));
            mReserved += tokens;
        }
        return admission;
    }

    Admission request(int vm, long tokens) {
        return request(mVms.get(vm), tokens);
    }

    private void finish(Vm vm) {
        if (vm.mRunning.isEmpty()) {
            return;
        }
        Running running = vm.mRunning.remove(mRandom.nextInt(vm.mRunning.size()));
        long used = mRandom.nextLong(running.reserved() + 1);
        vm.mBook.settle(mNowMs, ORGANISATION, running.reserved(), used);
        mReserved -= running.reserved();
        mUsed += used;
    }

    /** Ends all requests in progress at a VM, which used all that was reserved for them. */
    void useUp(int vm) {
        end(vm, Long.MAX_VALUE);
    }

    /** Ends all requests in progress at a VM, which used so many tokens each at the most. */
    void end(int vm, long most) {
        Vm at = mVms.get(vm);
        for (Running running : at.mRunning) {
            long used = Math.min(most, running.reserved());
            at.mBook.settle(mNowMs, ORGANISATION, running.reserved(), used);
            mReserved -= running.reserved();
            mUsed += used;
        }
        at.mRunning.clear();
    }

    /** Lets all VMs work for a time, with nothing failing. */
    void calm(long ms) {
        mFaults = false;
        while (!mLate.isEmpty()) {
            mLate.remove(0).run();
        }
        for (long t = 0; t < ms; t += 100) {
            mNowMs += 100;
            mVms.forEach(v -> v.mBook.tick(mNowMs));
        }
    }

    /** Raises the budget on all VMs. */
    void raise(long tokens) {
        mPrepaid += tokens;
        mVms.forEach(Vm::configure);
    }

    /** Lets each VM believe at any moment that it is a home, or that it is none. */
    void moveHomes() {
        mHomesMove = true;
    }

    void cut() {
        mFaults = true;
    }

    void kill(int vm) {
        mVms.get(vm).start();
    }

    void giveBack(int vm) {
        mVms.get(vm).mBook.startReturningTokens(mNowMs);
    }

    /** Returns the tokens that can still be spent, as a VM knows it that has just looked. */
    long left(int vm) {
        return mVms.get(vm).mBook.admissionState(mNowMs, ORGANISATION).unallocated() + free();
    }

    long free() {
        return mVms.stream().mapToLong(v -> v.mBook.holdings().get(ORGANISATION).free()).sum();
    }

    /** Returns the tokens that callers have had, or may still have. */
    long drawn() {
        return mUsed + mReserved;
    }

    /** Returns how often a budget was called used up of which the tokens asked for were unspent. */
    int falseProofs() {
        return mFalseProofs;
    }

    long prepaid() {
        return mPrepaid;
    }
}
