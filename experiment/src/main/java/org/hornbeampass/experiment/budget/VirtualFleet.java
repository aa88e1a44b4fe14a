package org.hornbeampass.experiment.budget;

import io.vavr.control.Either;

import org.hornbeampass.coordination.budget.AskGrant;
import org.hornbeampass.coordination.budget.BudgetHomes;
import org.hornbeampass.coordination.budget.BudgetLedger;
import org.hornbeampass.coordination.budget.BudgetSettings;
import org.hornbeampass.coordination.budget.GrantPolicy;
import org.hornbeampass.coordination.budget.MoveAck;
import org.hornbeampass.coordination.budget.MoveGrant;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * VMs in failure domains with a platform between them, in virtual time.
 *
 * <p>Invariant: all that happens is an event of one queue, so that equal seeds give equal runs. Not
 * thread-safe.
 */
final class VirtualFleet implements BudgetHomes {
    private static final long PLATFORM_MS = 3;
    private static final long PLATFORM_TIMEOUT_MS = 1_000;
    private static final long TICK_MS = 100;

    private final MemoryPlatform mStore = new MemoryPlatform();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Vm> mVms = new ArrayList<>();
    private final Map<OrganisationId, List<VmId>> mHomes = new HashMap<>();
    private final GrantPolicy mPolicy;
    private final ConfigSnapshot mConfig;
    private final int mDomains;
    private final int mHomesEach;
    private long mNowMs;
    private long mOrder;
    private long mReads;
    private long mWrites;
    private boolean mPlatformDown;
    private int mCutDomain = -1;

    /** Something that happens at a time; events of one time keep their order. */
    private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One place for a VM, with the process that runs there now. */
    private static final class Vm {
        private final String mName;
        private final int mDomain;
        private VmId mId;
        private BudgetLedger mLedger;
        private boolean mUp;

        Vm(String name, int domain) {
            mName = name;
            mDomain = domain;
        }
    }

    VirtualFleet(int vms, int domains, int homes, GrantPolicy policy, ConfigSnapshot config) {
        mPolicy = policy;
        mConfig = config;
        mDomains = domains;
        mHomesEach = homes;
        for (int i = 0; i < vms; i++) {
            mVms.add(new Vm("vm" + i, i % domains));
            start(i);
        }
    }

    int size() {
        return mVms.size();
    }

    boolean up(int vm) {
        return mVms.get(vm).mUp;
    }

    VmId id(int vm) {
        return mVms.get(vm).mId;
    }

    BudgetLedger ledger(int vm) {
        return mVms.get(vm).mLedger;
    }

    MemoryPlatform store() {
        return mStore;
    }

    long nowMs() {
        return mNowMs;
    }

    long reads() {
        return mReads;
    }

    long writes() {
        return mWrites;
    }

    void platformDown(boolean down) {
        mPlatformDown = down;
    }

    /** Cuts the VMs of a domain off from the platform and all other domains; -1 for none. */
    void cutDomain(int domain) {
        mCutDomain = domain;
    }

    /** Stops a VM's process with all it holds. */
    void die(int vm) {
        mVms.get(vm).mUp = false;
        mHomes.clear();
    }

    /** Starts a VM's next incarnation. */
    void start(int vm) {
        Vm at = mVms.get(vm);
        long incarnation = at.mId == null ? 1 : at.mId.incarnation() + 1;
        at.mId = new VmId(at.mName, incarnation);
        at.mLedger =
                new BudgetLedger(
                        at.mId,
                        (now, call, done) -> submit(vm, call, done),
                        peersOf(vm),
                        this,
                        BudgetSettings.defaults(),
                        mPolicy);
        at.mLedger.onConfig(mNowMs, mConfig);
        at.mUp = true;
        mHomes.clear();
        scheduleTick(vm, at.mLedger);
    }

    private void scheduleTick(int vm, BudgetLedger ledger) {
        after(
                TICK_MS,
                () -> {
                    if (mVms.get(vm).mLedger == ledger && mVms.get(vm).mUp) {
                        ledger.tick(mNowMs);
                        scheduleTick(vm, ledger);
                    }
                });
    }

    /** Runs an action later. */
    void after(long delayMs, Runnable action) {
        mEvents.add(new Event(mNowMs + delayMs, mOrder++, action));
    }

    /** Runs all events up to a time. */
    void runUntil(long untilMs) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= untilMs) {
            Event event = mEvents.remove();
            mNowMs = event.atMs();
            event.action().run();
        }
        mNowMs = untilMs;
    }

    @Override
    public List<VmId> live() {
        return mVms.stream().filter(v -> v.mUp).map(v -> v.mId).toList();
    }

    @Override
    public List<VmId> homes(OrganisationId organisation) {
        return mHomes.computeIfAbsent(organisation, this::rankHomes);
    }

    private List<VmId> rankHomes(OrganisationId organisation) {
        List<VmId> homes = new ArrayList<>();
        for (int domain = 0; domain < mDomains; domain++) {
            int each = domain;
            mVms.stream()
                    .filter(v -> v.mUp && v.mDomain == each)
                    .sorted(Comparator.comparingInt(v -> rank(organisation, v)))
                    .limit(mHomesEach)
                    .forEach(v -> homes.add(v.mId));
        }
        return homes;
    }

    private static int rank(OrganisationId organisation, Vm vm) {
        int hash = (31 * organisation.value().hashCode() + vm.mName.hashCode()) * 0x9E3779B9;
        return hash ^ (hash >>> 15);
    }

    private void submit(int vm, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        BudgetLedger caller = mVms.get(vm).mLedger;
        if (mPlatformDown || mVms.get(vm).mDomain == mCutDomain) {
            PlatformReply none = new PlatformReply.Unavailable("timeout");
            after(PLATFORM_TIMEOUT_MS, () -> reply(vm, caller, () -> done.accept(mNowMs, none)));
            return;
        }
        if (call.kind() == PlatformCall.Kind.WRITE) {
            mWrites++;
        } else {
            mReads++;
        }
        after(
                PLATFORM_MS,
                () ->
                        mStore.submit(
                                mNowMs,
                                call,
                                (at, r) ->
                                        after(
                                                PLATFORM_MS,
                                                () ->
                                                        reply(
                                                                vm,
                                                                caller,
                                                                () -> done.accept(mNowMs, r)))));
    }

    private void reply(int vm, BudgetLedger caller, Runnable action) {
        if (mVms.get(vm).mLedger == caller && mVms.get(vm).mUp) {
            action.run();
        }
    }

    private boolean linked(int from, int to) {
        boolean cut =
                mVms.get(from).mDomain != mVms.get(to).mDomain
                        && (mVms.get(from).mDomain == mCutDomain
                                || mVms.get(to).mDomain == mCutDomain);
        return mVms.get(to).mUp && !cut;
    }

    private PeerNetwork peersOf(int vm) {
        return new PeerNetwork() {
            @Override
            public void send(String vmName, PeerMessage message) {
                deliver(vm, find(vmName), message, r -> {});
            }

            @Override
            public void request(
                    long nowMs,
                    String vmName,
                    PeerMessage request,
                    long timeoutMs,
                    BiConsumer<Long, Either<Failure, PeerMessage>> done) {
                AtomicBoolean open = new AtomicBoolean(true);
                Failure late = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no reply");
                BudgetLedger caller = mVms.get(vm).mLedger;
                Consumer<Either<Failure, PeerMessage>> once =
                        r -> {
                            if (open.compareAndSet(true, false)) {
                                reply(vm, caller, () -> done.accept(mNowMs, r));
                            }
                        };
                after(timeoutMs, () -> once.accept(Either.left(late)));
                int to = find(vmName);
                deliver(vm, to, request, r -> back(vm, to, once, r));
            }
        };
    }

    private void back(
            int from, int to, Consumer<Either<Failure, PeerMessage>> once, PeerMessage reply) {
        if (linked(to, from)) {
            after(1, () -> once.accept(Either.right(reply)));
        }
    }

    private int find(String name) {
        return Integer.parseInt(name.substring("vm".length()));
    }

    private void deliver(int from, int to, PeerMessage message, Consumer<PeerMessage> reply) {
        if (!linked(from, to)) {
            return;
        }
        VmId sender = mVms.get(from).mId;
        after(1, () -> handle(to, sender, message, reply));
    }

    private void handle(int to, VmId from, PeerMessage message, Consumer<PeerMessage> reply) {
        if (!mVms.get(to).mUp) {
            return;
        }
        BudgetLedger ledger = mVms.get(to).mLedger;
        if (message instanceof AskGrant ask) {
            ledger.onAsk(mNowMs, from, ask, reply);
        } else if (message instanceof MoveGrant move) {
            ledger.onMove(mNowMs, from, move, reply);
        } else if (message instanceof MoveAck ack) {
            ledger.onMoveAck(mNowMs, from, ack, reply);
        }
    }
}
