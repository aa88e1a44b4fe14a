package org.hornbeampass.coordination.escrow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;
import org.hornbeampass.state.service.PrepaidOrganisation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * A day of callers, cuts from the store and kills of all VMs, in virtual time, for comparing grant
 * policies on the same seeds.
 *
 * <p>Organisations differ in size; a caller picks any VM; a request that is refused comes back
 * once. Not thread-safe.
 */
final class EscrowSimulation {
    private static final int VMS = 8;
    private static final int POOLS = 4;
    private static final int DOMAINS = 3;
    private static final int ORGANISATIONS = 10;
    private static final long STORE_MS = 8;
    private static final long PEER_MS = 3;
    private static final long WAIT_MS = 200;
    private static final long RESTART_MS = 1_200;

    /** A request is owed as long as this part of its budget covers it, at its most. */
    private static final double OWED_PART = 0.97;

    /** How long after its end a request still counts at its most for what is owed. */
    private static final long SETTLED_MS = 1_500;

    private static final long RUN_MS = 600;

    /** The worth of an answer that came only when its caller had come back, as a part. */
    private static final double LATE_PART = 0.3;

    /**
     * What is done to the VMs.
     *
     * @param cuts spans in milliseconds in which no VM reaches the store
     * @param kills times in milliseconds at which all VMs are killed
     */
    record Faults(List<long[]> cuts, List<Long> kills) {}

    /**
     * Which fleet serves.
     *
     * @param vms how many VMs
     * @param organisations how many organisations
     * @param allHomes whether each VM holds a part of each pool, as against a few homes
     */
    record Size(int vms, int organisations, boolean allHomes) {
        /** A few VMs, as most fleets have. */
        static final Size SMALL = new Size(VMS, ORGANISATIONS, false);
    }

    /**
     * What came of a day.
     *
     * @param requests how many were made
     * @param lost how many were refused and not served when they came back either
     * @param refusals how many times a request was refused
     * @param writtenOff tokens that a kill took, as a part of all budgets
     * @param calls calls to the store; reads that may be old count a tenth
     * @param servedWorth the part of the worth that the budgets covered and callers got
     * @param messages messages between VMs that are about tokens, replies not counted
     * @param overspent whether any organisation got more than its budget
     */
    record Result(
            int requests,
            int lost,
            int refusals,
            double writtenOff,
            double calls,
            double servedWorth,
            long messages,
            boolean overspent) {
        double refusedPart() {
            return (double) refusals / requests;
        }

        double lostPart() {
            return (double) lost / requests;
        }
    }

    /** Something that happens at a time; the order breaks ties. */
    private record Event(long atMs, long order, Runnable action) {}

    /** One VM with its present life. */
    private final class Vm {
        private final int mNumber;
        private final MemberHomes mMembers = new MemberHomes();
        private final PoolHomes mHomes;
        private EscrowBook mBook;
        private EscrowLoans mLoans;
        private final Member mMember;
        private long mUpAtMs;

        Vm(int number) {
            mNumber = number;
            mMember =
                    new Member(
                            new VmId(Integer.toString(number), 1),
                            "h",
                            "p",
                            new Region("r"),
                            new FailureDomain("d" + number % DOMAINS),
                            MemberState.LIVE);
            mHomes = mSize.allHomes() ? new AllVmsHomes(mSize::vms, this::others) : mMembers;
            start();
        }

        void start() {
            mLives++;
            mBook =
                    new EscrowBook(
                            EscrowSimulation.this::submit,
                            new EscrowOwner("vm-" + mNumber, "life-" + mLives),
                            POOLS,
                            mHomes,
                            mPolicy,
                            GrantListener.NONE);
            List<PrepaidOrganisation> organisations = new ArrayList<>();
            for (int i = 0; i < mSize.organisations(); i++) {
                organisations.add(
                        new PrepaidOrganisation(
                                "org-" + i, List.of("k" + i), 0, OptionalLong.of(mPrepaid[i])));
            }
            mBook.onOrganisations(organisations);
            mLoans = new EscrowLoans(mBook, new Peers(), mHomes, mChoices);
            mUpAtMs = mNowMs + (mLives > mSize.vms() ? RESTART_MS : 0);
        }

        private List<String> others() {
            List<String> names = new ArrayList<>();
            for (int i = 0; i < mSize.vms(); i++) {
                if (i != mNumber && mVms.get(i).up()) {
                    names.add(Integer.toString(i));
                }
            }
            return names;
        }

        boolean up() {
            return mNowMs >= mUpAtMs;
        }

        void tick() {
            if (!up()) {
                return;
            }
            mMembers.update(mMember, upMembers(), true);
            mBook.tick(mNowMs);
            mLoans.tick(mNowMs);
        }
    }

    /** Asks another VM; it answers some milliseconds later. */
    private final class Peers implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            Vm receiver = mVms.get(Integer.parseInt(vmName));
            mMessages++;
            if (receiver.up()) {
                after(PEER_MS, () -> receiver.mBook.accept(mNowMs, (TokenTransfer) message));
            }
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            Vm lender = mVms.get(Integer.parseInt(vmName));
            mMessages++;
            if (!lender.up()) {
                Failure lost = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no answer");
                after(timeoutMs, () -> done.accept(mNowMs, Either.left(lost)));
                return;
            }
            lender.mLoans.onRequest(
                    nowMs,
                    new VmId("borrower", 1),
                    (LoanRequest) request,
                    r -> after(PEER_MS, () -> done.accept(mNowMs, Either.right(r))));
        }
    }

    private final Size mSize;
    private final Random mRandom;

    /** Draws what VMs choose, so that all policies meet the same callers. */
    private final Random mChoices;

    private final SimulatedLoad mLoad;
    private final GrantPolicy mPolicy;
    private final Faults mFaults;
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final long[] mPrepaid;
    private final long[] mUsed;
    private final long[] mUsedAtMost;
    private final double[] mShares;
    private final List<Vm> mVms = new ArrayList<>();
    private long mNowMs;
    private long mOrder;
    private int mLives;
    private int mRequests;
    private int mLost;
    private int mRefusals;
    private double mCalls;
    private long mWrittenOff;
    private double mOwedWorth;
    private double mServedWorth;
    private long mMessages;
    private List<Member> mUpMembers = List.of();

    private EscrowSimulation(
            long seed, SimulatedLoad load, GrantPolicy policy, Faults faults, Size size) {
        mSize = size;
        mPrepaid = new long[size.organisations()];
        mUsed = new long[size.organisations()];
        mUsedAtMost = new long[size.organisations()];
        mShares = new double[size.organisations()];
        mRandom = new Random(seed);
        mChoices = new Random(seed);
        mLoad = load;
        mPolicy = policy;
        mFaults = faults;
        double sum = 0;
        for (int i = 0; i < mSize.organisations(); i++) {
            mShares[i] = 1.0 / (i + 1);
            sum += mShares[i];
        }
        for (int i = 0; i < mSize.organisations(); i++) {
            mShares[i] /= sum;
            mPrepaid[i] = (long) (load.prepaid() * growth() * mShares[i]);
        }
        for (int i = 0; i < mSize.vms(); i++) {
            mVms.add(new Vm(i));
        }
    }

    /** Plays one day. */
    static Result play(long seed, SimulatedLoad load, GrantPolicy policy, Faults faults) {
        return play(seed, load, policy, faults, Size.SMALL);
    }

    /** Plays one day with a fleet of a size; the load grows with the number of VMs. */
    static Result play(
            long seed, SimulatedLoad load, GrantPolicy policy, Faults faults, Size size) {
        EscrowSimulation day = new EscrowSimulation(seed, load, policy, faults, size);
        day.run();
        return day.result();
    }

    private double growth() {
        return (double) mSize.vms() / VMS;
    }

    private void after(long ms, Runnable action) {
        mEvents.add(new Event(mNowMs + ms, mOrder++, action));
    }

    private void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        mCalls += call instanceof PlatformCall.Get get && get.allowsStale() ? 0.1 : 1;
        boolean cut = mFaults.cuts().stream().anyMatch(c -> nowMs >= c[0] && nowMs < c[1]);
        if (cut) {
            PlatformReply lost = new PlatformReply.Unavailable("cut off");
            after(500, () -> done.accept(mNowMs, lost));
            return;
        }
        after(
                STORE_MS / 2,
                () ->
                        mStore.submit(
                                mNowMs,
                                call,
                                (t, r) -> after(STORE_MS / 2, () -> done.accept(mNowMs, r))));
    }

    private void run() {
        mNowMs = -10_000;
        for (long t = 0; t < mLoad.dayMs() + 10_000; t += 100) {
            after(t, this::tick);
        }
        double at = 10_000;
        while (at < mLoad.dayMs() + 10_000) {
            at += -Math.log(1 - mRandom.nextDouble()) / (growth() * mLoad.requestsPerMs());
            after((long) at, this::arrive);
        }
        for (long kill : mFaults.kills()) {
            after(10_000 + kill, this::killAll);
        }
        while (!mEvents.isEmpty()) {
            Event next = mEvents.remove();
            mNowMs = next.atMs();
            next.action().run();
        }
    }

    private void tick() {
        mUpMembers = mVms.stream().filter(Vm::up).map(v -> v.mMember).toList();
        mVms.forEach(Vm::tick);
    }

    private List<Member> upMembers() {
        return mUpMembers;
    }

    private void killAll() {
        for (Vm vm : mVms) {
            mWrittenOff += vm.mBook.holdings().values().stream().mapToLong(h -> h.free()).sum();
            vm.start();
        }
    }

    private void arrive() {
        double part = mRandom.nextDouble();
        int organisation = 0;
        while (organisation < mSize.organisations() - 1 && part >= mShares[organisation]) {
            part -= mShares[organisation++];
        }
        SimulatedLoad.Size size = mLoad.draw(mRandom);
        mRequests++;
        long left = (long) (OWED_PART * mPrepaid[organisation]) - mUsedAtMost[organisation];
        double worth = size.most() <= left ? size.worth() : 0;
        mOwedWorth += worth;
        ask(organisation, new SimulatedLoad.Size(size.most(), size.used(), worth), true);
    }

    private void ask(int organisation, SimulatedLoad.Size size, boolean first) {
        Vm vm = mVms.get(mRandom.nextInt(mSize.vms()));
        if (!vm.up()) {
            refuse(organisation, size, first, 300);
            return;
        }
        new Waiting(vm, organisation, size, first, mNowMs + WAIT_MS).tryToReserve();
    }

    /** One request that waits for tokens. */
    private final class Waiting {
        private final Vm mVm;
        private final EscrowBook mBook;
        private final int mOrganisation;
        private final SimulatedLoad.Size mSize;
        private final boolean mFirst;
        private final long mUntilMs;
        private boolean mDone;

        Waiting(Vm vm, int organisation, SimulatedLoad.Size size, boolean first, long untilMs) {
            mVm = vm;
            mBook = vm.mBook;
            mOrganisation = organisation;
            mSize = size;
            mFirst = first;
            mUntilMs = untilMs;
        }

        void tryToReserve() {
            if (mDone || mBook != mVm.mBook) {
                return;
            }
            String name = "org-" + mOrganisation;
            long tokens = mSize.most();
            Admission admission = mBook.admit(mNowMs, name, tokens);
            if (admission == Admission.RESERVED) {
                mDone = true;
                serve(name, tokens, mSize.usedTokens());
                return;
            }
            boolean late = mNowMs >= mUntilMs;
            if (!late
                    && admission == Admission.INSUFFICIENT_HERE
                    && mBook.mayObtainTokens(mNowMs, name, tokens)) {
                mBook.afterNextExchange(mNowMs, name, this::tryToReserve);
                after(mUntilMs - mNowMs, this::giveUp);
                return;
            }
            boolean searching =
                    !late
                            && admission == Admission.INSUFFICIENT_HERE
                            && mVm.mLoans.search(mNowMs, name, tokens, this::tryToReserve);
            if (!searching) {
                giveUp();
            }
        }

        private void serve(String name, long tokens, long used) {
            mUsed[mOrganisation] += used;
            mUsedAtMost[mOrganisation] += tokens;
            mServedWorth += mFirst ? mSize.worth() : LATE_PART * mSize.worth();
            after(RUN_MS, () -> mBook.settle(mNowMs, name, tokens, used));
            after(RUN_MS + SETTLED_MS, () -> mUsedAtMost[mOrganisation] -= tokens - used);
        }

        private void giveUp() {
            if (mDone) {
                return;
            }
            mDone = true;
            refuse(
                    mOrganisation,
                    mSize,
                    mFirst,
                    mBook.isStoreUnreachable(mNowMs, "org-0") ? 2_500 : 200);
        }
    }

    private void refuse(int organisation, SimulatedLoad.Size size, boolean first, long backMs) {
        mRefusals++;
        if (!first) {
            mLost++;
            return;
        }
        after(backMs, () -> ask(organisation, size, false));
    }

    private Result result() {
        boolean overspent = false;
        long prepaid = 0;
        for (int i = 0; i < mSize.organisations(); i++) {
            overspent |= mUsed[i] > mPrepaid[i];
            prepaid += mPrepaid[i];
        }
        return new Result(
                mRequests,
                mLost,
                mRefusals,
                (double) mWrittenOff / prepaid,
                mCalls,
                mServedWorth / mOwedWorth,
                mMessages,
                overspent);
    }
}
