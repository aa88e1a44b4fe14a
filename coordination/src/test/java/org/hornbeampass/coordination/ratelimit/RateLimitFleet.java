package org.hornbeampass.coordination.ratelimit;

import io.vavr.control.Either;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.IncarnationListener;
import org.hornbeampass.coordination.service.Placement;
import org.hornbeampass.coordination.service.RateLimit;
import org.hornbeampass.coordination.service.SignalExchange;
import org.hornbeampass.coordination.service.SignalListener;
import org.hornbeampass.coordination.service.SignalReport;
import org.hornbeampass.coordination.service.SignalTable;
import org.hornbeampass.coordination.service.SlowStarts;
import org.hornbeampass.coordination.service.TestMembers;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.coordination.service.UpstreamRegistry;
import org.hornbeampass.coordination.service.UpstreamSignals;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.service.Prompt;
import org.hornbeampass.state.service.ServiceSpec;
import org.hornbeampass.state.service.UpstreamEntry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Simulates in virtual time a fleet that sends requests to upstreams that announce rate limits,
 * with failures of VMs and of the network. Not thread-safe.
 */
final class RateLimitFleet {
    static final String SERVICE_NAME = "s";

    private static final int DOMAINS = 5;
    private static final long TICK_MS = 100;
    private static final long WARM_UP_MS = 2_000;
    private static final int MAX_DENIALS = 4;
    private static final long ONE_WAY_MS = 2;
    private static final long COLD_MS = 600_000;
    static final SlowStartBounds SLOW_START_BOUNDS = new SlowStartBounds(1.5, 5);

    /**
     * An event at a time; events of the same time run in the order in which they were scheduled.
     */
    private record Event(long atMs, long number, Runnable action) {}

    /** One incarnation of a VM. */
    private final class Vm
            implements PeerNetwork, PermitHomeResolver, SlowStartIssuers, SignalListener {
        private final Member mSelf;
        private final long mStartedMs;
        private final Set<String> mKnownVms = new HashSet<>();
        private final Set<String> mEverKnownVms = new HashSet<>();
        private final SignalTable mTable = new SignalTable();
        private final UpstreamRegistry mUpstreamRegistry;
        private final SignalExchange mExchange;
        private final SlowStarts mSlowStarts = new SlowStarts();
        private final AnnouncedLimits mAnnouncedLimits;
        private final SlowStartLimits mSlowStartLimits;
        private final SendPermits mPermits;

        Vm(Member self) {
            mSelf = self;
            mStartedMs = mNowMs;
            mSlowStarts.setServices(List.of(mService));
            mAnnouncedLimits = new AnnouncedLimits(mTable, this::exchange, this);
            mSlowStartLimits =
                    new SlowStartLimits(
                            mSlowStarts, mAnnouncedLimits, this, SLOW_START_BOUNDS, mRandom);
            mPermits =
                    new SendPermits(
                            List.of(
                                    new RateLimiter(mSlowStartLimits, this, self.name()),
                                    new RateLimiter(mAnnouncedLimits, this, self.name())));
            mUpstreamRegistry =
                    new UpstreamRegistry(
                            mRandom,
                            mVms::size,
                            mTable,
                            mPermits,
                            Placement.unrestricted(),
                            mSlowStarts);
            mExchange = new SignalExchange(mUpstreamRegistry, mTable, this, this::paths, this);
        }

        private void onRequest(VmId from, PeerMessage request, Consumer<PeerMessage> reply) {
            if (request instanceof SlowStartRequest slowStart) {
                mSlowStartLimits.onRequest(mNowMs, from, slowStart, reply);
            } else {
                mAnnouncedLimits.onRequest(mNowMs, from, (PermitRequest) request, reply);
            }
        }

        private SignalExchange exchange() {
            return mExchange;
        }

        private BroadcastPaths paths() {
            List<Member> known =
                    mMembers.stream().filter(m -> mKnownVms.contains(m.name())).toList();
            return BroadcastPaths.choose(mSelf, known);
        }

        @Override
        public Optional<String> homeOf(String upstream) {
            boolean warmingUp = mStartedMs > 0 && mNowMs - mStartedMs < WARM_UP_MS;
            return warmingUp ? Optional.empty() : RendezvousHash.choose(upstream, mKnownVms);
        }

        @Override
        public List<String> issuersOf(String upstream) {
            boolean warmingUp = mStartedMs > 0 && mNowMs - mStartedMs < WARM_UP_MS;
            if (warmingUp) {
                return List.of();
            }
            return mIssuing.issuers(upstream, mKnownVms, mEverKnownVms);
        }

        @Override
        public boolean isLive(String vm) {
            return mIssuing.mayAsk(self(), vm, mKnownVms);
        }

        @Override
        public String self() {
            return mSelf.name();
        }

        @Override
        public void send(String vmName, PeerMessage message) {
            mMessages++;
            deliver(
                    this,
                    vmName,
                    to ->
                            to.mExchange.onReport(
                                    mNowMs, mSelf.vm(), (SignalReport) message, r -> {}));
        }

        @Override
        public void request(
                long nowMs,
                String vmName,
                PeerMessage request,
                long timeoutMs,
                BiConsumer<Long, Either<Failure, PeerMessage>> done) {
            mMessages += 2;
            boolean[] answered = new boolean[1];
            deliver(
                    this,
                    vmName,
                    to ->
                            to.onRequest(
                                    mSelf.vm(),
                                    request,
                                    reply ->
                                            deliver(
                                                    to,
                                                    mSelf.name(),
                                                    back -> {
                                                        if (!answered[0] && back == this) {
                                                            answered[0] = true;
                                                            done.accept(
                                                                    mNowMs, Either.right(reply));
                                                        }
                                                    })));
            schedule(
                    timeoutMs,
                    () -> {
                        if (!answered[0] && isUp(this)) {
                            answered[0] = true;
                            done.accept(
                                    mNowMs,
                                    Either.left(Failure.of(ErrorKind.NO_UPSTREAM, "silent")));
                        }
                    });
        }

        @Override
        public void onLeaving(long nowMs, UpstreamIncarnation upstream, String toldBy) {}

        @Override
        public void onRateLimit(
                long nowMs, UpstreamIncarnation upstream, OptionalDouble limit, String toldBy) {}
    }

    /** One request in flight at an upstream. */
    private static final class InFlightRequest implements IncarnationListener {
        @Override
        public void onEnded(long nowMs) {}
    }

    private final Random mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final ServiceSpec mService;
    private final Issuing mIssuing;
    private final Set<String> mDivided = new HashSet<>();
    private final Map<String, Vm> mVms = new TreeMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private final Set<String> mPartitioned = new HashSet<>();
    private final Map<String, LimitedUpstream> mUpstreams = new HashMap<>();
    private double mLossShare;
    private long mMessages;
    private long mRefused;
    private long mServed;
    private long mNowMs;
    private long mNumber;

    /** Creates a fleet whose upstreams have no slow start. */
    RateLimitFleet(int vms, int upstreams, long seed) {
        this(vms, upstreams, seed, Optional.empty(), Issuing.FIXED_VMS);
    }

    /** Creates a fleet whose upstreams may have a slow start. */
    RateLimitFleet(
            int vms,
            int upstreams,
            long seed,
            Optional<ServiceSpec.SlowStart> slowStart,
            Issuing issuing) {
        mRandom = new Random(seed);
        mService = new ServiceSpec(SERVICE_NAME, 100, Optional.empty(), slowStart);
        mIssuing = issuing;
        for (int i = 0; i < upstreams; i++) {
            mUpstreams.put("i-" + i, new LimitedUpstream());
        }
        for (int i = 0; i < vms; i++) {
            mMembers.add(TestMembers.live("vm-" + i, i % DOMAINS));
        }
        mMembers.forEach(this::startVm);
        schedule(0, this::tick);
    }

    private void startVm(Member member) {
        Vm vm = new Vm(member);
        mMembers.forEach(m -> vm.mKnownVms.add(m.name()));
        vm.mEverKnownVms.addAll(vm.mKnownVms);
        mVms.put(member.name(), vm);
        mUpstreams.keySet().forEach(u -> vm.mUpstreamRegistry.onEntry(mNowMs, entry(u, 0)));
    }

    private static UpstreamEntry entry(String id, long coldLeftMs) {
        FailureDomain domain = new FailureDomain("d0");
        return new UpstreamEntry(
                id, OptionalLong.of(1), SERVICE_NAME, id + ":80", domain, 6, false, coldLeftMs);
    }

    /** Adds an upstream that is in its slow start; VMs learn of it within a bound. */
    void addColdUpstream(String id, long knownWithinMs) {
        mUpstreams.put(id, new LimitedUpstream());
        for (Vm vm : mVms.values()) {
            schedule(
                    mRandom.nextLong(knownWithinMs),
                    () -> vm.mUpstreamRegistry.onEntry(mNowMs, entry(id, COLD_MS)));
        }
    }

    LimitedUpstream upstream(String id) {
        return mUpstreams.get(id);
    }

    /** Returns the VMs that issue the permits of an upstream, as one VM sees them. */
    List<String> issuersOf(String upstream) {
        return mVms.values().iterator().next().issuersOf(upstream);
    }

    /**
     * Divides the fleet into some VMs and all others, which still reach the upstreams; each VM
     * notices within a bound that the other part is gone. An empty part ends the division.
     */
    void divide(Set<String> part, long noticedWithinMs) {
        mDivided.clear();
        mDivided.addAll(part);
        for (Vm vm : mVms.values()) {
            schedule(
                    mRandom.nextLong(noticedWithinMs),
                    () -> {
                        vm.mKnownVms.clear();
                        mVms.keySet().stream()
                                .filter(n -> inSamePart(n, vm.self()))
                                .forEach(vm.mKnownVms::add);
                    });
        }
    }

    private boolean inSamePart(String a, String b) {
        return mDivided.contains(a) == mDivided.contains(b);
    }

    LimitedUpstream upstream(int number) {
        return mUpstreams.get("i-" + number);
    }

    long nowMs() {
        return mNowMs;
    }

    long messages() {
        return mMessages;
    }

    long refused() {
        return mRefused;
    }

    long served() {
        return mServed;
    }

    void loseMessages(double share) {
        mLossShare = share;
    }

    /** Partitions a VM from the others and from the upstreams, or reconnects it. */
    void setPartitioned(String vm, boolean partitioned) {
        mUpstreams.values().forEach(u -> u.onVmInterrupted(vm));
        if (partitioned) {
            mPartitioned.add(vm);
        } else {
            mPartitioned.remove(vm);
        }
    }

    /** Returns the VM that issues an upstream's permits. */
    String homeOf(int upstream) {
        return mVms.values().iterator().next().homeOf("i-" + upstream).orElseThrow();
    }

    /** Ends a VM; each of the others notices after a random time up to a bound. */
    void kill(String vm, long noticedWithinMs) {
        mVms.remove(vm);
        mUpstreams.values().forEach(u -> u.onVmInterrupted(vm));
        for (Vm other : mVms.values()) {
            schedule(
                    mRandom.nextLong(noticedWithinMs),
                    () -> {
                        if (!mVms.containsKey(vm)) {
                            other.mKnownVms.remove(vm);
                        }
                    });
        }
    }

    /** Starts a VM again; each of the others notices after a random time up to a bound. */
    void start(String vm, long noticedWithinMs) {
        Member member =
                mMembers.stream().filter(m -> m.name().equals(vm)).findFirst().orElseThrow();
        startVm(member);
        for (Vm other : mVms.values()) {
            schedule(mRandom.nextLong(noticedWithinMs), () -> other.mKnownVms.add(vm));
        }
    }

    /** Sends requests to random VMs for some time, at a rate for the whole fleet. */
    void load(double perSecond, long forMs) {
        long untilMs = mNowMs + forMs;
        double gapMs = 1_000 / perSecond;
        for (double t = nextGapMs(gapMs); t < forMs; t += nextGapMs(gapMs)) {
            schedule((long) t, this::onRequestArrival);
        }
        runUntil(untilMs);
    }

    private double nextGapMs(double meanMs) {
        return -meanMs * Math.log(1 - mRandom.nextDouble());
    }

    /** Schedules an action after a number of milliseconds. */
    void schedule(long ms, Runnable action) {
        mEvents.add(new Event(mNowMs + ms, mNumber++, action));
    }

    private void runUntil(long untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() < untilMs) {
            Event event = mEvents.poll();
            mNowMs = event.atMs();
            event.action().run();
        }
        mNowMs = untilMs;
    }

    private void tick() {
        for (Vm vm : List.copyOf(mVms.values())) {
            vm.mExchange.tick(mNowMs);
            vm.mPermits.tick(mNowMs);
            vm.mUpstreamRegistry.tick(mNowMs);
        }
        schedule(TICK_MS, this::tick);
    }

    private boolean isUp(Vm vm) {
        return mVms.get(vm.self()) == vm;
    }

    private void deliver(Vm from, String to, Consumer<Vm> handler) {
        boolean lost = mPartitioned.contains(from.self()) || mRandom.nextDouble() < mLossShare;
        schedule(
                ONE_WAY_MS + mRandom.nextInt(2),
                () -> {
                    Vm receiver = mVms.get(to);
                    boolean reachable = !mPartitioned.contains(to) && inSamePart(from.self(), to);
                    if (!lost && receiver != null && reachable) {
                        handler.accept(receiver);
                    }
                });
    }

    private void onRequestArrival() {
        List<Vm> up = List.copyOf(mVms.values());
        if (!up.isEmpty()) {
            attempt(up.get(mRandom.nextInt(up.size())), 0);
        }
    }

    /** Chooses an upstream and requests a permit, as the relay does. */
    private void attempt(Vm vm, int denials) {
        Set<String> excluded =
                denials >= MAX_DENIALS ? vm.mUpstreamRegistry.rateLimited(mNowMs) : Set.of();
        var chosen = vm.mUpstreamRegistry.choose(mNowMs, mService, Prompt.NONE, excluded);
        if (chosen.isEmpty()) {
            mRefused++;
            return;
        }
        UpstreamInstance instance = chosen.get().instance();
        vm.mPermits.acquire(
                mNowMs,
                instance.incarnation(),
                (t, permit) -> {
                    if (permit.isPresent() && vm.mPermits.redeem(t, permit.get())) {
                        send(vm, instance);
                    } else {
                        attempt(vm, denials + 1);
                    }
                });
    }

    private void send(Vm vm, UpstreamInstance instance) {
        if (mPartitioned.contains(vm.self())) {
            return;
        }
        mServed++;
        long sentMs = mNowMs;
        IncarnationListener inFlight = new InFlightRequest();
        instance.onSent(0, inFlight);
        LimitedUpstream upstream = mUpstreams.get(instance.id());
        schedule(
                ONE_WAY_MS,
                () -> {
                    upstream.onArrival(mNowMs, vm.self());
                    schedule(
                            upstream.workMs(mRandom), () -> answer(vm, instance, inFlight, sentMs));
                });
    }

    private void answer(
            Vm vm, UpstreamInstance instance, IncarnationListener inFlight, long sentMs) {
        LimitedUpstream upstream = mUpstreams.get(instance.id());
        OptionalDouble limit = upstream.limit();
        schedule(
                ONE_WAY_MS + mRandom.nextInt(20),
                () -> {
                    instance.onEnded(inFlight);
                    if (!isUp(vm) || mPartitioned.contains(vm.self())) {
                        return;
                    }
                    if (limit.isPresent()) {
                        upstream.onLimitReceived(mNowMs, vm.self());
                    }
                    instance.onSuccess(mNowMs, (double) (mNowMs - sentMs));
                    vm.mExchange.onAnswer(
                            mNowMs,
                            instance,
                            new UpstreamSignals(false, new RateLimit(limit, sentMs, mNowMs)));
                });
    }
}
