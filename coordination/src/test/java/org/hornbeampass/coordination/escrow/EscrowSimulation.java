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
 * Simulates a fleet with callers, store outages and kills of all VMs, in virtual time, to compare
 * grant policies with the same seeds.
 *
 * <p>Organisations differ in size; a caller sends each request to a random VM and retries a refused
 * request once. Not thread-safe.
 */
final class EscrowSimulation {
    private static final int VMS = 8;
    private static final int POOLS = 4;
    private static final int DOMAINS = 3;
    private static final int ORGANISATIONS = 10;
    private static final long STORE_MS = 8;
    private static final long PEER_MS = 3;
    private static final long MAX_WAIT_MS = 200;
    private static final long RESTART_MS = 1_200;

    /**
     * The fraction of a budget that requests, counted by their maximum tokens, must fit into to
     * count as covered by it.
     */
    private static final double COVERED_FRACTION = 0.97;

    /**
     * The time after the end of a request during which it is still counted by its maximum tokens,
     * in milliseconds.
     */
    private static final long SETTLE_MARGIN_MS = 1_500;

    private static final long REQUEST_MS = 600;

    /** The fraction of a request's worth that counts if it is served only on retry. */
    private static final double RETRY_WORTH_FRACTION = 0.3;

    /**
     * The faults of a simulation.
     *
     * @param outages spans in milliseconds during which no VM can reach the store
     * @param kills times in milliseconds at which all VMs are killed
     */
    record Faults(List<long[]> outages, List<Long> kills) {}

    /**
     * The size of a fleet.
     *
     * @param vms the number of VMs
     * @param organisations the number of organisations
     * @param allHomes whether each VM is a home of each pool; otherwise, each pool has a few homes
     */
    record Size(int vms, int organisations, boolean allHomes) {
        /** A few VMs, as in most fleets. */
        static final Size SMALL = new Size(VMS, ORGANISATIONS, false);
    }

    /**
     * The result of a simulation.
     *
     * @param requests the number of requests, without retries
     * @param lost the number of requests that were refused and not served on retry either
     * @param refusals how many times a request was refused
     * @param writtenOff the tokens lost by kills, as a fraction of all budgets
     * @param calls the calls to the store; reads that may be stale count as a tenth
     * @param servedWorth the worth of the served requests, as a fraction of that of all requests
     *     covered by the budgets
     * @param messages the messages about tokens between VMs, without replies
     * @param overspent whether any organisation used more than its budget
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
        double refusedFraction() {
            return (double) refusals / requests;
        }

        double lostFraction() {
            return (double) lost / requests;
        }
    }

    /** An action at a point in time; {@code order} breaks ties. */
    private record Event(long atMs, long order, Runnable action) {}

    /** A VM with its current incarnation. */
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
            mHomes = mSize.allHomes() ? new AllVmsHomes(mSize::vms, this::otherUpVms) : mMembers;
            start();
        }

        void start() {
            mIncarnations++;
            mBook =
                    new EscrowBook(
                            EscrowSimulation.this::submit,
                            new EscrowOwner("vm-" + mNumber, "life-" + mIncarnations),
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
            mLoans = new EscrowLoans(mBook, new DelayedNetwork(), mHomes, mVmRandom);
            mUpAtMs = mNowMs + (mIncarnations > mSize.vms() ? RESTART_MS : 0);
        }

        private List<String> otherUpVms() {
            List<String> names = new ArrayList<>();
            for (int i = 0; i < mSize.vms(); i++) {
                if (i != mNumber && mVms.get(i).isUp()) {
                    names.add(Integer.toString(i));
                }
            }
            return names;
        }

        boolean isUp() {
            return mNowMs >= mUpAtMs;
        }

        void tick() {
            if (!isUp()) {
                return;
            }
            mMembers.update(mMember, upMembers(), true);
            mBook.tick(mNowMs);
            mLoans.tick(mNowMs);
        }
    }

    /** A network whose messages arrive after a few milliseconds. */
    private final class DelayedNetwork implements PeerNetwork {
        @Override
        public void send(String vmName, PeerMessage message) {
            Vm receiver = mVms.get(Integer.parseInt(vmName));
            mMessages++;
            if (receiver.isUp()) {
                schedule(PEER_MS, () -> receiver.mBook.onTransfer(mNowMs, (TokenTransfer) message));
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
            if (!lender.isUp()) {
                Failure lost = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no reply");
                schedule(timeoutMs, () -> done.accept(mNowMs, Either.left(lost)));
                return;
            }
            lender.mLoans.onRequest(
                    nowMs,
                    new VmId("borrower", 1),
                    (LoanRequest) request,
                    r -> schedule(PEER_MS, () -> done.accept(mNowMs, Either.right(r))));
        }
    }

    private final Size mSize;
    private final Random mRandom;

    /** Random choices of the VMs, kept separate so that all policies receive the same requests. */
    private final Random mVmRandom;

    private final SimulatedLoad mLoad;
    private final GrantPolicy mPolicy;
    private final Faults mFaults;
    private final MemoryPlatform mStore = new MemoryPlatform();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final long[] mPrepaid;
    private final long[] mUsed;
    private final long[] mMaxUsed;
    private final double[] mLoadShares;
    private final List<Vm> mVms = new ArrayList<>();
    private long mNowMs;
    private long mOrder;
    private int mIncarnations;
    private int mRequests;
    private int mLost;
    private int mRefusals;
    private double mCalls;
    private long mWrittenOff;
    private double mCoveredWorth;
    private double mServedWorth;
    private long mMessages;
    private List<Member> mUpMembers = List.of();

    private EscrowSimulation(
            long seed, SimulatedLoad load, GrantPolicy policy, Faults faults, Size size) {
        mSize = size;
        mPrepaid = new long[size.organisations()];
        mUsed = new long[size.organisations()];
        mMaxUsed = new long[size.organisations()];
        mLoadShares = new double[size.organisations()];
        mRandom = new Random(seed);
        mVmRandom = new Random(seed);
        mLoad = load;
        mPolicy = policy;
        mFaults = faults;
        double sum = 0;
        for (int i = 0; i < mSize.organisations(); i++) {
            mLoadShares[i] = 1.0 / (i + 1);
            sum += mLoadShares[i];
        }
        for (int i = 0; i < mSize.organisations(); i++) {
            mLoadShares[i] /= sum;
            mPrepaid[i] = (long) (load.prepaid() * loadFactor() * mLoadShares[i]);
        }
        for (int i = 0; i < mSize.vms(); i++) {
            mVms.add(new Vm(i));
        }
    }

    /** Runs one simulation with a small fleet. */
    static Result simulate(long seed, SimulatedLoad load, GrantPolicy policy, Faults faults) {
        return simulate(seed, load, policy, faults, Size.SMALL);
    }

    /**
     * Runs one simulation with a fleet of the given size; the load grows with the number of VMs.
     */
    static Result simulate(
            long seed, SimulatedLoad load, GrantPolicy policy, Faults faults, Size size) {
        EscrowSimulation simulation = new EscrowSimulation(seed, load, policy, faults, size);
        simulation.run();
        return simulation.result();
    }

    private double loadFactor() {
        return (double) mSize.vms() / VMS;
    }

    private void schedule(long ms, Runnable action) {
        mEvents.add(new Event(mNowMs + ms, mOrder++, action));
    }

    private void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        mCalls += call instanceof PlatformCall.Get get && get.allowsStale() ? 0.1 : 1;
        boolean inOutage = mFaults.outages().stream().anyMatch(c -> nowMs >= c[0] && nowMs < c[1]);
        if (inOutage) {
            PlatformReply lost = new PlatformReply.Unavailable("store unreachable");
            schedule(500, () -> done.accept(mNowMs, lost));
            return;
        }
        schedule(
                STORE_MS / 2,
                () ->
                        mStore.submit(
                                mNowMs,
                                call,
                                (t, r) -> schedule(STORE_MS / 2, () -> done.accept(mNowMs, r))));
    }

    private void run() {
        mNowMs = -10_000;
        for (long t = 0; t < mLoad.durationMs() + 10_000; t += 100) {
            schedule(t, this::tick);
        }
        double at = 10_000;
        while (at < mLoad.durationMs() + 10_000) {
            at += -Math.log(1 - mRandom.nextDouble()) / (loadFactor() * mLoad.requestsPerMs());
            schedule((long) at, this::onArrival);
        }
        for (long kill : mFaults.kills()) {
            schedule(10_000 + kill, this::killAll);
        }
        while (!mEvents.isEmpty()) {
            Event next = mEvents.remove();
            mNowMs = next.atMs();
            next.action().run();
        }
    }

    private void tick() {
        mUpMembers = mVms.stream().filter(Vm::isUp).map(v -> v.mMember).toList();
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

    private void onArrival() {
        double part = mRandom.nextDouble();
        int organisation = 0;
        while (organisation < mSize.organisations() - 1 && part >= mLoadShares[organisation]) {
            part -= mLoadShares[organisation++];
        }
        SimulatedLoad.Size size = mLoad.draw(mRandom);
        mRequests++;
        long left = (long) (COVERED_FRACTION * mPrepaid[organisation]) - mMaxUsed[organisation];
        double worth = size.maxTokens() <= left ? size.worth() : 0;
        mCoveredWorth += worth;
        sendRequest(
                organisation,
                new SimulatedLoad.Size(size.maxTokens(), size.usedFraction(), worth),
                true);
    }

    private void sendRequest(int organisation, SimulatedLoad.Size size, boolean first) {
        Vm vm = chooseVm(organisation);
        if (!vm.isUp()) {
            refuse(organisation, size, first, 300);
            return;
        }
        new WaitingRequest(vm, organisation, size, first, mNowMs + MAX_WAIT_MS).tryToReserve();
    }

    private Vm chooseVm(int organisation) {
        Vm random = mVms.get(mRandom.nextInt(mSize.vms()));
        if (organisation > 0 || !mLoad.largestKeepsToOneVm()) {
            return random;
        }
        int pool = random.mBook.pool("org-0");
        return mVms.stream().filter(v -> !v.mHomes.isHome(pool)).findFirst().orElse(random);
    }

    /** A request that waits for tokens. */
    private final class WaitingRequest {
        private final Vm mVm;
        private final EscrowBook mBook;
        private final int mOrganisation;
        private final SimulatedLoad.Size mSize;
        private final boolean mFirst;
        private final long mUntilMs;
        private boolean mDone;

        WaitingRequest(
                Vm vm, int organisation, SimulatedLoad.Size size, boolean first, long untilMs) {
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
            long tokens = mSize.maxTokens();
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
                schedule(mUntilMs - mNowMs, this::giveUp);
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
            mMaxUsed[mOrganisation] += tokens;
            mServedWorth += mFirst ? mSize.worth() : RETRY_WORTH_FRACTION * mSize.worth();
            schedule(REQUEST_MS, () -> mBook.settle(mNowMs, name, tokens, used));
            schedule(REQUEST_MS + SETTLE_MARGIN_MS, () -> mMaxUsed[mOrganisation] -= tokens - used);
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

    private void refuse(
            int organisation, SimulatedLoad.Size size, boolean first, long retryDelayMs) {
        mRefusals++;
        if (!first) {
            mLost++;
            return;
        }
        schedule(retryDelayMs, () -> sendRequest(organisation, size, false));
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
                mServedWorth / mCoveredWorth,
                mMessages,
                overspent);
    }
}
