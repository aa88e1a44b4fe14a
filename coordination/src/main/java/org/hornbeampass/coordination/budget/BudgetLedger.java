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
 * Admits requests against prepaid budgets on one VM, using the tokens that the VM holds in escrow.
 *
 * <p>Invariant: a VM spends only tokens that the platform's record granted to it or that another VM
 * holding them moved to it. So all VMs together never spend more than was paid, even if messages
 * are lost or late or VMs pause. Thread-safe: there is one lock for each organisation, no two are
 * ever held together, and callbacks run with none held. Timed work runs only in {@link #tick},
 * which must be called a few times a second.
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
     * Creates the ledger of one VM, which holds no tokens yet.
     *
     * @param self this VM and its incarnation, which no other process ever had
     * @param platform the platform
     * @param peers the other routers
     * @param homes the live VMs and the homes of each organisation
     * @param settings time and size limits
     * @param policy decides how many tokens are drawn
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
     * Reserves the largest number of tokens that a request may use, from tokens that this VM holds.
     * Makes no call to the platform or to peers.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param id the request
     * @param tokens the largest number of tokens that the request may use, at least 1
     * @return the reservation or one of these errors: {@code FIELD_INVALID}; {@code SHUTTING_DOWN};
     *     {@code BUDGET_EXHAUSTED} if the record shows that the whole budget has too few tokens
     *     left; otherwise {@code BUDGET_UNREACHABLE}
     */
    public Either<Failure, Reservation> tryReserve(
            long nowMs, BudgetKey key, RequestId id, long tokens) {
        Optional<Failure> invalid = BudgetFailures.checkTokens(tokens);
        if (invalid.isPresent()) {
            return Either.left(invalid.get());
        }
        return organisation(key.organisation()).tryReserve(nowMs, key, id, tokens);
    }

    /**
     * Reserves the largest number of tokens that a request may use. If this VM holds too few, asks
     * the platform and peers and waits for a limited time. A request that waiting can't help is
     * refused at once.
     *
     * @param nowMs the present time in milliseconds
     * @param key the budget
     * @param id the request
     * @param tokens the largest number of tokens that the request may use, at least 1
     * @param waitMs the longest wait in milliseconds; 0 for none
     * @param done run exactly once, on any thread, possibly before this method returns; errors as
     *     for {@link #tryReserve}
     */
    public void reserve(
            long nowMs,
            BudgetKey key,
            RequestId id,
            long tokens,
            long waitMs,
            BiConsumer<Long, Either<Failure, Reservation>> done) {
        Optional<Failure> invalid = BudgetFailures.checkTokens(tokens);
        if (invalid.isPresent()) {
            done.accept(nowMs, Either.left(invalid.get()));
            return;
        }
        organisation(key.organisation()).reserve(nowMs, key, id, tokens, waitMs, done);
    }

    /**
     * Ends a reservation with the number of tokens used. Ending a reservation again has no effect.
     * Tokens used beyond the reservation are not charged; they are counted as overrun, which is the
     * operator's loss.
     */
    public void settle(long nowMs, Reservation reservation, long usedTokens) {
        organisation(reservation.key().organisation()).settle(nowMs, reservation, usedTokens);
    }

    /** Ends a reservation with no tokens used. */
    public void cancel(long nowMs, Reservation reservation) {
        settle(nowMs, reservation, 0);
    }

    /**
     * Makes settled tokens free again, on the VM that settled them, because another bill for the
     * same request was accepted.
     */
    public void refund(long nowMs, BudgetKey key, long tokens) {
        if (BudgetFailures.checkTokens(tokens).isPresent()) {
            return;
        }
        organisation(key.organisation()).refund(nowMs, key, tokens);
    }

    /**
     * Performs timed work: calls the platform, sends asks and moves, and refuses requests that
     * waited too long.
     */
    public void tick(long nowMs) {
        mOrganisations.values().forEach(o -> o.tick(nowMs));
        Consumer<Long> done = mHandOverDone.get();
        if (done == null) {
            return;
        }
        boolean complete =
                mOrganisations.values().stream().allMatch(OrganisationBudgets::handedOver);
        if (complete && mHandOverDone.compareAndSet(done, null)) {
            done.accept(nowMs);
        }
    }

    /**
     * Stops reserving, reports all spending and returns all unspent tokens to the platform. Open
     * reservations can still be settled. Progress needs further calls of {@link #tick}; the caller
     * limits the time.
     *
     * @param done run once, with the time in milliseconds, when this VM holds no more tokens
     */
    public void handOver(long nowMs, Consumer<Long> done) {
        mHandOverDone.set(done);
        mClosing = true;
        mOrganisations.values().forEach(o -> o.startHandOver(nowMs));
        tick(nowMs);
    }

    /**
     * Closes the record's entries of a VM that is gone. Tokens that it held and did not report as
     * spent are written off.
     *
     * @param vm an incarnation that is proved gone: a higher incarnation of the same name runs, or
     *     the platform's list no longer contains it
     */
    public void onVmGone(long nowMs, VmId vm) {
        for (OrganisationId id : mConfig.get().organisations().keySet()) {
            if (closesEntriesOf(id)) {
                organisation(id);
            }
        }
        mOrganisations.values().forEach(o -> o.onVmGone(nowMs, vm));
    }

    /**
     * Returns whether this VM closes the entries of VMs that are gone for an organisation whose
     * budgets it does not use itself.
     */
    private boolean closesEntriesOf(OrganisationId id) {
        return mContext.homes().homes(id).stream()
                .limit(MAX_CLOSING_VMS)
                .anyMatch(vm -> vm.equals(mContext.self()));
    }

    /** Applies the budget preference of each organisation from the configuration in force. */
    public void onConfig(long nowMs, ConfigSnapshot config) {
        mConfig.set(config);
        mOrganisations.forEach((id, budgets) -> budgets.onPreference(preference(id)));
    }

    /** Handles an {@link AskGrant}; refuses it if its asker is not its sender. */
    public void onAsk(long nowMs, VmId from, AskGrant ask, Consumer<PeerMessage> reply) {
        if (!from.equals(ask.asker())) {
            mSenderMismatches.incrementAndGet();
            reply.accept(new AskRefused(ask.organisation(), ask.budget()));
            return;
        }
        organisation(ask.organisation()).onAsk(nowMs, ask, reply);
    }

    /** Handles a {@link MoveGrant}; ignores it if its giver is not its sender. */
    public void onMove(long nowMs, VmId from, MoveGrant move, Consumer<PeerMessage> reply) {
        if (!from.equals(move.giver())) {
            mSenderMismatches.incrementAndGet();
            return;
        }
        organisation(move.organisation()).onMove(nowMs, move, reply);
    }

    /**
     * Handles a {@link MoveAck}, which is sent as a one-way message after an ask was answered with
     * a move.
     */
    public void onMoveAck(long nowMs, VmId from, MoveAck ack, Consumer<PeerMessage> reply) {
        organisation(ack.organisation()).onAck(ack);
    }

    /** Returns the tokens that this VM holds of a budget; empty if it has never used the budget. */
    public Optional<HoldingView> view(BudgetKey key) {
        return Optional.ofNullable(mOrganisations.get(key.organisation()))
                .flatMap(o -> o.view(key));
    }

    /** Returns the number of platform calls made for budgets. */
    public long platformCalls() {
        return mOrganisations.values().stream().mapToLong(OrganisationBudgets::platformCalls).sum();
    }

    private OrganisationBudgets organisation(OrganisationId id) {
        OrganisationBudgets existing = mOrganisations.get(id);
        return existing != null ? existing : mOrganisations.computeIfAbsent(id, this::open);
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
