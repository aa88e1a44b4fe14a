package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.budget.LedgerRecord;
import org.hornbeampass.state.budget.Reservation;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationSpec;
import org.hornbeampass.state.config.Parameters;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Simulates a few VMs, a platform and a network in virtual time, with faults set by a test.
 *
 * <p>Every action is an event in one queue ordered by time, so a run is determined by the test and
 * its seed alone. Not thread-safe.
 */
final class BudgetSimulation implements BudgetHomes {
    static final OrganisationId ORGANISATION = new OrganisationId("flights");
    static final BudgetKey KEY = new BudgetKey(ORGANISATION, new BudgetId("main"));

    private static final ConfigSnapshot CONFIG =
            new ConfigSnapshot(
                    1,
                    Map.of(),
                    Map.of(
                            ORGANISATION,
                            new OrganisationSpec(
                                    ORGANISATION,
                                    "none",
                                    Parameters.none(),
                                    Set.of(KEY.budget()),
                                    Map.of())),
                    Map.of());
    private static final long MIN_LATENCY_MS = 2;
    private static final long TIMEOUT_MS = 500;
    private static final long TICK_MS = 100;

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<SimulatedRouter> mRouters = new ArrayList<>();
    private final GrantPolicy mPolicy;
    private final int mHomeCount;
    private final BudgetAdmin mAdmin;
    private final BudgetMutant mMutant;
    private final Random mRandom;
    private PlatformFault mOperatorFault = PlatformFault.NONE;
    private int mOperatorCallsLater;
    private Optional<List<VmId>> mLive = Optional.empty();
    private Runnable mOnWrite = () -> {};
    private long mNowMs;
    private long mOrder;
    private long mRequests;

    /**
     * An action at a time. Events with the same time keep the order in which they were scheduled.
     */
    private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** Faults of the next platform call of a VM. */
    enum PlatformFault {
        NONE,
        /** The call never reaches the platform. */
        LOST,
        /** The call takes effect but its reply is lost. */
        REPLY_LOST,
        /** The call takes effect after the caller has timed out. */
        LATE
    }

    /** A simulated VM with its ledger and the state of its connections. */
    static final class SimulatedRouter {
        final BudgetLedger mLedger;
        final VmId mId;
        PlatformFault mNextFault = PlatformFault.NONE;
        boolean mCutFromPlatform;
        boolean mCutFromPeers;
        boolean mDropNextReply;
        boolean mPaused;
        boolean mCrashed;
        final List<Runnable> mDelayedActions = new ArrayList<>();

        SimulatedRouter(VmId id, BudgetLedger ledger) {
            mId = id;
            mLedger = ledger;
        }
    }

    BudgetSimulation(int vms, GrantPolicy policy, int homes) {
        this(vms, policy, homes, BudgetMutant.NONE, 0);
    }

    /**
     * Creates a simulation with an optional broken rule and with latencies generated from a seed.
     */
    BudgetSimulation(int vms, GrantPolicy policy, int homes, BudgetMutant mutant, long seed) {
        mPolicy = policy;
        mHomeCount = homes;
        mMutant = mutant;
        mRandom = new Random(seed);
        mAdmin = new BudgetAdmin(new VmId("operator", 1), operatorPlatform());
        for (int i = 0; i < vms; i++) {
            start("vm" + i, 1);
        }
    }

    /** Stops the process of a VM permanently. */
    void crash(int vm) {
        mRouters.get(vm).mCrashed = true;
        mLive = Optional.empty();
    }

    /** Starts a VM or its next incarnation; returns its index. */
    int start(String name, long incarnation) {
        VmId id = new VmId(name, incarnation);
        int index = mRouters.size();
        BudgetLedger ledger =
                new BudgetLedger(
                        id,
                        platformOf(index),
                        peersOf(index),
                        this,
                        BudgetSettings.defaults(),
                        mPolicy);
        ledger.onConfig(mNowMs, CONFIG);
        mRouters.add(new SimulatedRouter(id, ledger));
        mLive = Optional.empty();
        scheduleTick(index);
        return index;
    }

    /** Sets an action to run after each write to the store. */
    void onWrite(Runnable action) {
        mOnWrite = action;
    }

    /** Sets the fault of the operators' next platform call. */
    void operatorFault(PlatformFault fault) {
        operatorFaultAt(0, fault);
    }

    /** Sets the fault of one of the operators' platform calls, where 0 is the next one. */
    void operatorFaultAt(int callsLater, PlatformFault fault) {
        mOperatorFault = fault;
        mOperatorCallsLater = callsLater;
    }

    SimulatedRouter router(int vm) {
        return mRouters.get(vm);
    }

    BudgetLedger ledger(int vm) {
        return mRouters.get(vm).mLedger;
    }

    long nowMs() {
        return mNowMs;
    }

    int size() {
        return mRouters.size();
    }

    BudgetAdmin admin() {
        return mAdmin;
    }

    @Override
    public List<VmId> live() {
        if (mLive.isEmpty()) {
            mLive =
                    Optional.of(
                            mRouters.stream().filter(n -> !n.mCrashed).map(n -> n.mId).toList());
        }
        return mLive.get();
    }

    @Override
    public List<VmId> homes(OrganisationId organisation) {
        List<VmId> live = live();
        return live.subList(0, Math.min(mHomeCount, live.size()));
    }

    private void scheduleTick(int vm) {
        schedule(
                mNowMs + TICK_MS,
                () -> {
                    if (mRouters.get(vm).mCrashed || !mMutant.ticks()) {
                        return;
                    }
                    runOn(vm, () -> ledger(vm).tick(mNowMs));
                    scheduleTick(vm);
                });
    }

    private void schedule(long atMs, Runnable action) {
        mEvents.add(new Event(atMs, mOrder++, action));
    }

    /**
     * Runs an action on a VM: now, or when the VM resumes if it is paused, or never if it has
     * crashed.
     */
    void runOn(int vm, Runnable action) {
        SimulatedRouter router = mRouters.get(vm);
        if (router.mCrashed) {
            return;
        }
        if (router.mPaused) {
            router.mDelayedActions.add(action);
            return;
        }
        action.run();
    }

    void resume(int vm) {
        SimulatedRouter router = mRouters.get(vm);
        router.mPaused = false;
        List<Runnable> delayed = List.copyOf(router.mDelayedActions);
        router.mDelayedActions.clear();
        if (!router.mCrashed) {
            delayed.forEach(Runnable::run);
        }
    }

    /** Advances the virtual time and runs all events due until then. */
    void run(long forMs) {
        long untilMs = mNowMs + forMs;
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= untilMs) {
            Event event = mEvents.remove();
            mNowMs = event.atMs();
            event.action().run();
        }
        mNowMs = untilMs;
    }

    /** Advances the virtual time and returns the statement after it. */
    BudgetStatement runAndGetStatement(long forMs) {
        run(forMs);
        return statement();
    }

    BudgetStatement statement() {
        return BudgetStatement.of(KEY, record().budget(KEY.budget()));
    }

    LedgerRecord record() {
        AtomicReference<LedgerRecord> record = new AtomicReference<>(LedgerRecord.empty());
        mStore.submit(
                mNowMs,
                new PlatformCall.Get("budgets/" + ORGANISATION),
                (at, reply) -> {
                    if (reply instanceof PlatformReply.Found found) {
                        record.set(
                                org.hornbeampass.state.Json.decode(
                                                found.object().value(), LedgerRecord.class)
                                        .get());
                    }
                });
        return record.get();
    }

    Either<Failure, BudgetStatement> topUp(String id, long tokens) {
        return await(done -> mAdmin.topUp(mNowMs, KEY, id, tokens, done));
    }

    Either<Failure, BudgetStatement> setPaid(long tokens) {
        return await(done -> mAdmin.setPaid(mNowMs, KEY, tokens, done));
    }

    Either<Failure, BudgetStatement> lower(long tokens) {
        return await(done -> mAdmin.lowerPaid(mNowMs, KEY, tokens, done));
    }

    /**
     * Starts an operation and advances the time until its outcome is received; returns null after
     * 10 s of virtual time.
     */
    <T> T await(Consumer<BiConsumer<Long, T>> start) {
        AtomicReference<T> result = new AtomicReference<>();
        start.accept((at, r) -> result.set(r));
        for (int i = 0; i < 5_000 && result.get() == null; i++) {
            run(2);
        }
        return result.get();
    }

    /** Reserves with a wait of two seconds and advances the time until the outcome is received. */
    Either<Failure, Reservation> reserve(int vm, long tokens) {
        RequestId id = new RequestId("r" + mRequests++);
        return await(done -> ledger(vm).reserve(mNowMs, KEY, id, tokens, 2_000, done));
    }

    boolean handOver(int vm) {
        AtomicBoolean done = new AtomicBoolean();
        ledger(vm).handOver(mNowMs, at -> done.set(true));
        run(5_000);
        return done.get();
    }

    private Platform operatorPlatform() {
        return (nowMs, call, done) -> {
            boolean faulty = mOperatorCallsLater-- == 0;
            PlatformFault fault = faulty ? mOperatorFault : PlatformFault.NONE;
            call(fault, call, r -> done.accept(mNowMs, r));
        };
    }

    private Platform platformOf(int vm) {
        return (nowMs, call, done) -> {
            SimulatedRouter router = mRouters.get(vm);
            PlatformFault fault = router.mCutFromPlatform ? PlatformFault.LOST : router.mNextFault;
            router.mNextFault = PlatformFault.NONE;
            call(fault, call, r -> runOn(vm, () -> done.accept(mNowMs, r)));
        };
    }

    private void call(PlatformFault fault, PlatformCall call, Consumer<PlatformReply> reply) {
        boolean lost = fault != PlatformFault.NONE;
        if (lost) {
            schedule(
                    mNowMs + TIMEOUT_MS,
                    () -> reply.accept(new PlatformReply.Unavailable("timeout")));
        }
        if (fault == PlatformFault.LOST) {
            return;
        }
        long arrivesMs = fault == PlatformFault.LATE ? 3 * TIMEOUT_MS : latency();
        schedule(mNowMs + arrivesMs, () -> apply(call, lost, reply));
    }

    private void apply(PlatformCall call, boolean lost, Consumer<PlatformReply> reply) {
        mMutant.submit(
                mStore,
                mNowMs,
                call,
                (at, r) -> {
                    if (call.kind() == PlatformCall.Kind.WRITE) {
                        mOnWrite.run();
                    }
                    if (!lost) {
                        schedule(mNowMs + latency(), () -> reply.accept(r));
                    }
                });
    }

    /**
     * Returns a latency of a few milliseconds or, in one of 50 cases, one longer than any timeout.
     */
    private long latency() {
        return mRandom.nextInt(50) == 0 ? 1_200 : MIN_LATENCY_MS + mRandom.nextInt(8);
    }

    private int find(String name) {
        for (int i = mRouters.size() - 1; i >= 0; i--) {
            if (mRouters.get(i).mId.name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private boolean arePeersConnected(int from, int to) {
        return to >= 0 && !mRouters.get(from).mCutFromPeers && !mRouters.get(to).mCutFromPeers;
    }

    private PeerNetwork peersOf(int vm) {
        return new PeerNetwork() {
            @Override
            public void send(String vmName, PeerMessage message) {
                deliver(vm, find(vmName), message, reply -> {});
            }

            @Override
            public void request(
                    long nowMs,
                    String vmName,
                    PeerMessage request,
                    long timeoutMs,
                    BiConsumer<Long, Either<Failure, PeerMessage>> done) {
                sendRequest(vm, find(vmName), request, timeoutMs, done);
            }
        };
    }

    private void sendRequest(
            int from,
            int to,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        AtomicBoolean answered = new AtomicBoolean();
        Consumer<Either<Failure, PeerMessage>> once =
                r -> {
                    if (answered.compareAndSet(false, true)) {
                        runOn(from, () -> done.accept(mNowMs, r));
                    }
                };
        Failure timeout = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no reply");
        schedule(mNowMs + timeoutMs, () -> once.accept(Either.left(timeout)));
        deliver(
                from,
                to,
                request,
                reply -> {
                    boolean dropped = mRouters.get(to).mDropNextReply;
                    mRouters.get(to).mDropNextReply = false;
                    if (arePeersConnected(from, to) && !dropped) {
                        schedule(mNowMs + latency(), () -> once.accept(Either.right(reply)));
                    }
                });
    }

    private void deliver(int from, int to, PeerMessage message, Consumer<PeerMessage> reply) {
        if (!arePeersConnected(from, to)) {
            return;
        }
        VmId sender = mRouters.get(from).mId;
        PeerMessage sent = mMutant.rewriteMessage(message, mOrder);
        schedule(mNowMs + latency(), () -> runOn(to, () -> handle(to, sender, sent, reply)));
    }

    private void handle(int to, VmId from, PeerMessage message, Consumer<PeerMessage> reply) {
        BudgetLedger ledger = ledger(to);
        if (message instanceof AskGrant ask) {
            ledger.onAsk(mNowMs, from, ask, reply);
        } else if (message instanceof MoveGrant move) {
            ledger.onMove(mNowMs, from, move, reply);
        } else if (message instanceof MoveAck ack) {
            ledger.onMoveAck(mNowMs, from, ack, reply);
        }
    }
}
