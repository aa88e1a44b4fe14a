package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.Reservation;
import org.hornbeampass.state.config.BudgetPreference;
import org.hornbeampass.state.config.ConfigSnapshot;
import org.hornbeampass.state.config.OrganisationTerms;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Admits requests against prepaid budgets on one VM, out of what the VM holds in escrow.
 *
 * <p>Invariant: a VM spends only what the platform's record granted to it, or what a peer that held
 * it gave away; so the spending of all VMs never exceeds what was paid, whatever is lost, late or
 * paused. Thread-safe: one lock for each organisation, never two at once; callbacks run with none
 * held. Time passes only by {@link #tick}, which is to be called a few times a second.
 */
public final class BudgetLedger {
    private static final int MAX_CLOSING_VMS = 2;

    private final BudgetContext mContext;
    private final AtomicLong mReservationNumbers = new AtomicLong();
    private final AtomicLong mSenderMismatches = new AtomicLong();
    private final Map<OrganisationId, OrganisationBudgets> mOrganisations =
            new ConcurrentHashMap<>();
    private final AtomicReference<ConfigSnapshot> mConfig =
            new AtomicReference<>(ConfigSnapshot.empty());
    private final AtomicReference<Consumer<Long>> mHandOverDone = new AtomicReference<>();
    private volatile boolean mClosing;

    /**
     * Creates the ledger of one VM, which holds nothing yet.
     *
     * @param self this VM and its incarnation, which no other process ever had
     * @param platform the platform
     * @param peers the other routers
     * @param homes who is live, and who draws for whom
     * @param settings times and bounds
     * @param policy how much is drawn
     */
    public BudgetLedger(
            VmId self,
            Platform platform,
            PeerNetwork peers,
            BudgetHomes homes,
            BudgetSettings settings,
            GrantPolicy policy) {
        mContext =
                new BudgetContext(
                        self,
                        platform,
                        peers,
                        homes,
                        settings,
                        policy,
                        ConcurrentHashMap.newKeySet());
    }

    /**
     * Reserves the worst case of a request from what this VM holds, with no call to anyone.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param id the request
     * @param tokens the most that the request may use, from 1
     * @return the reservation; or {@code FIELD_INVALID}, {@code SHUTTING_DOWN}, {@code
     *     BUDGET_EXHAUSTED} where the record is known to hold less, else {@code BUDGET_UNREACHABLE}
     */
    public Either<Failure, Reservation> tryReserve(
            long nowMs, BudgetKey key, RequestId id, long tokens) {
        Optional<Failure> wrong = BudgetFailures.checkTokens(tokens);
        if (wrong.isPresent()) {
            return Either.left(wrong.get());
        }
        return organisation(key.organisation()).tryReserve(nowMs, key, id, tokens);
    }

    /**
     * Reserves the worst case of a request; where this VM holds too little, asks the platform and
     * peers and waits within a bound. A request that waiting can't help is refused at once.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param id the request
     * @param tokens the most that the request may use, from 1
     * @param waitMs the longest wait, in milliseconds; 0 for none
     * @param done run exactly once, on any thread, possibly before this method returns; failures as
     *     {@link #tryReserve}
     */
    public void reserve(
            long nowMs,
            BudgetKey key,
            RequestId id,
            long tokens,
            long waitMs,
            BiConsumer<Long, Either<Failure, Reservation>> done) {
        Optional<Failure> wrong = BudgetFailures.checkTokens(tokens);
        if (wrong.isPresent()) {
            done.accept(nowMs, Either.left(wrong.get()));
            return;
        }
        organisation(key.organisation()).reserve(nowMs, key, id, tokens, waitMs, done);
    }

    /**
     * Ends a reservation by what was really used. The second end of a reservation has no effect;
     * tokens beyond it are counted as the operator's loss and not charged.
     */
    public void settle(long nowMs, Reservation reservation, long usedTokens) {
        organisation(reservation.key().organisation()).settle(nowMs, reservation, usedTokens);
    }

    /** Ends a reservation of which nothing was used. */
    public void cancel(long nowMs, Reservation reservation) {
        settle(nowMs, reservation, 0);
    }

    /**
     * Takes settled tokens back as unspent, on the VM that settled them, since another bill for the
     * same request won.
     */
    public void refund(long nowMs, BudgetKey key, long tokens) {
        if (BudgetFailures.checkTokens(tokens).isPresent()) {
            return;
        }
        organisation(key.organisation()).refund(nowMs, key, tokens);
    }

    /** Does what is due: platform calls, asks and moves, and the refusal of those who waited. */
    public void tick(long nowMs) {
        mOrganisations.values().forEach(o -> o.tick(nowMs));
        Consumer<Long> done = mHandOverDone.get();
        if (done == null) {
            return;
        }
        boolean over = mOrganisations.values().stream().allMatch(OrganisationBudgets::handedOver);
        if (over && mHandOverDone.compareAndSet(done, null)) {
            done.accept(nowMs);
        }
    }

    /**
     * Stops reserving, reports all spending and gives back what is unspent; open reservations may
     * still be settled. Needs further calls of {@link #tick}; the caller bounds the time.
     *
     * @param done run once with the time in milliseconds, when nothing is held here any more
     */
    public void handOver(long nowMs, Consumer<Long> done) {
        mHandOverDone.set(done);
        mClosing = true;
        mOrganisations.values().forEach(o -> o.startHandOver(nowMs));
        tick(nowMs);
    }

    /**
     * Counts what a VM held and did not report as spent, and closes its entries.
     *
     * @param vm an incarnation that is proved gone: its name runs with a higher one, or the
     *     platform's list dropped it
     */
    public void onVmGone(long nowMs, VmId vm) {
        for (OrganisationId id : mConfig.get().organisations().keySet()) {
            if (closesEntriesOf(id)) {
                organisation(id);
            }
        }
        mOrganisations.values().forEach(o -> o.onVmGone(nowMs, vm));
    }

    /** Returns whether this VM looks after the entries of an organisation that it does not use. */
    private boolean closesEntriesOf(OrganisationId id) {
        return mContext.homes().homes(id).stream()
                .limit(MAX_CLOSING_VMS)
                .anyMatch(vm -> vm.equals(mContext.self()));
    }

    /** Takes each organisation's preference from the configuration in force. */
    public void onConfig(long nowMs, ConfigSnapshot config) {
        mConfig.set(config);
        mOrganisations.forEach((id, budgets) -> budgets.onPreference(preference(id)));
    }

    /** Handles {@link AskGrant}; refuses one whose asker is not its sender. */
    public void onAsk(long nowMs, VmId from, AskGrant ask, Consumer<PeerMessage> reply) {
        if (!from.equals(ask.asker())) {
            mSenderMismatches.incrementAndGet();
            reply.accept(new AskRefused(ask.organisation(), ask.budget()));
            return;
        }
        organisation(ask.organisation()).onAsk(nowMs, ask, reply);
    }

    /** Handles {@link MoveGrant}; ignores one whose giver is not its sender. */
    public void onMove(long nowMs, VmId from, MoveGrant move, Consumer<PeerMessage> reply) {
        if (!from.equals(move.giver())) {
            mSenderMismatches.incrementAndGet();
            return;
        }
        organisation(move.organisation()).onMove(nowMs, move, reply);
    }

    /** Handles {@link MoveAck}, which comes as a one-way message after an ask. */
    public void onMoveAck(long nowMs, VmId from, MoveAck ack, Consumer<PeerMessage> reply) {
        organisation(ack.organisation()).onAck(ack);
    }

    /** Returns what this VM holds of a budget; empty where it never dealt with it. */
    public Optional<HoldingView> view(BudgetKey key) {
        return Optional.ofNullable(mOrganisations.get(key.organisation()))
                .flatMap(o -> o.view(key));
    }

    /** Returns the number of platform calls made for budgets. */
    public long platformCalls() {
        return mOrganisations.values().stream().mapToLong(OrganisationBudgets::platformCalls).sum();
    }

    private OrganisationBudgets organisation(OrganisationId id) {
        OrganisationBudgets known = mOrganisations.get(id);
        return known != null ? known : mOrganisations.computeIfAbsent(id, this::open);
    }

    private OrganisationBudgets open(OrganisationId id) {
        OrganisationBudgets opened = new OrganisationBudgets(id, mContext, mReservationNumbers);
        opened.onPreference(preference(id));
        if (mClosing) {
            opened.markClosing();
        }
        return opened;
    }

    /** Returns the number of asks and moves that named another VM than their sender. */
    public long senderMismatches() {
        return mSenderMismatches.get();
    }

    private BudgetPreference preference(OrganisationId id) {
        return mConfig.get()
                .terms(id)
                .map(OrganisationTerms::budgetPreference)
                .orElse(BudgetPreference.AVOID_STRANDING);
    }
}
