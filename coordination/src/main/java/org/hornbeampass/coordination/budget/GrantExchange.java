package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.HolderId;
import org.hornbeampass.state.config.BudgetPreference;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Moves tokens between this VM and its peers: asks peers, answers their asks and reports spending
 * to a home.
 *
 * <p>Invariant: the giver subtracts tokens before it sends them, and sends the same move again
 * until it is acknowledged. Stateless except for its context; called under the organisation's lock.
 */
final class GrantExchange {
    private static final double PEER_HORIZON_SHARE = 0.5;
    private static final double REFILL_BELOW = 0.5;
    private static final long KEEP_HORIZON_MS = 30_000;

    private final OrganisationId mOrganisation;
    private final BudgetContext mContext;

    GrantExchange(OrganisationId organisation, BudgetContext context) {
        mOrganisation = organisation;
        mContext = context;
    }

    /**
     * Sends unacknowledged moves whose next transmission is due. On a VM that does not use the
     * platform itself, first starts a move of its spending to a home when one is due.
     */
    void sendMoves(
            long nowMs,
            BudgetAccount account,
            boolean direct,
            DeferredActions actions,
            OrganisationBudgets budgets) {
        PeerMoves moves = account.moves();
        long timeoutMs = mContext.settings().askTimeoutMs();
        boolean idle = account.holding().spent() == 0 && account.holding().free() == 0;
        if (!direct && !account.holding().registered() && !idle) {
            if (moves.takeHomeReportDue(nowMs, mContext.settings().reportIntervalMs())) {
                startMoveToHome(nowMs, account);
            }
        }
        for (MoveGrant move : moves.takeDueMoves(nowMs, timeoutMs)) {
            String receiver = move.receiver().name();
            actions.add(
                    () ->
                            mContext.peers()
                                    .request(
                                            nowMs,
                                            receiver,
                                            move,
                                            timeoutMs,
                                            (at, reply) -> budgets.onMoveReply(reply)));
        }
    }

    private void startMoveToHome(long nowMs, BudgetAccount account) {
        Holding holding = account.holding();
        for (VmId home : mContext.homes().homes(mOrganisation)) {
            if (home.equals(mContext.self()) || account.moves().pending(home).isPresent()) {
                continue;
            }
            boolean idle = holding.demand().tokensPerMs(nowMs) <= 0 && account.waiters().isEmpty();
            long free = idle ? holding.free() : 0;
            Optional<MovedTokens> moved =
                    holding.takeForMove(new HolderId(home, 0), free, holding.spent());
            moved.ifPresent(m -> account.moves().start(home, m));
            return;
        }
    }

    /** Asks the next peer if requests wait or few tokens are left, unless an ask is in flight. */
    void ask(
            long nowMs,
            BudgetAccount account,
            BudgetPreference preference,
            Supplier<List<VmId>> candidates,
            DeferredActions actions,
            OrganisationBudgets budgets) {
        AskRound round = account.askRound();
        Holding holding = account.holding();
        long waiting = account.waitingTokens();
        double horizonMs = preference.demandHorizonMs() * PEER_HORIZON_SHARE;
        long target = Math.max(waiting, (long) (holding.demand().tokensPerMs(nowMs) * horizonMs));
        boolean sufficient = holding.free() >= Math.max(waiting, (long) (target * REFILL_BELOW));
        if (round.inFlight()) {
            return;
        }
        if (target == 0 || sufficient) {
            if (round.running()) {
                round.end(nowMs, false);
            }
            return;
        }
        if (!round.running()) {
            if (!round.mayStart(nowMs)) {
                return;
            }
            round.start(candidates.get());
        }
        Optional<VmId> peer = round.nextPeer();
        if (peer.isEmpty()) {
            boolean failed = waiting > 0 && !round.anyTokensReceived();
            round.end(nowMs + (failed ? mContext.settings().askTimeoutMs() : 0), failed);
            return;
        }
        AskGrant ask =
                new AskGrant(
                        mOrganisation,
                        account.key().budget(),
                        mContext.self(),
                        Math.max(0, waiting - holding.free()),
                        target - holding.free());
        send(nowMs, account, peer.get(), ask, actions, budgets);
    }

    private void send(
            long nowMs,
            BudgetAccount account,
            VmId peer,
            AskGrant ask,
            DeferredActions actions,
            OrganisationBudgets budgets) {
        actions.add(
                () ->
                        mContext.peers()
                                .request(
                                        nowMs,
                                        peer.name(),
                                        ask,
                                        mContext.settings().askTimeoutMs(),
                                        (at, reply) ->
                                                budgets.onAskReply(at, account.key(), reply)));
    }

    /**
     * Answers a peer's ask: with the move to that peer that is not acknowledged yet, with a new
     * move, or, if this VM may soon draw enough tokens, later.
     */
    void answer(
            long nowMs,
            BudgetAccount account,
            AskGrant ask,
            boolean mayDraw,
            Consumer<PeerMessage> reply,
            DeferredActions actions) {
        DeferredAsk deferred =
                new DeferredAsk(ask, nowMs + mContext.settings().askTimeoutMs() / 2, reply);
        boolean hasCapacity = account.deferredAsks().size() < mContext.settings().maxWaiters();
        if (mayDraw && hasCapacity && ask.atLeast() > 0 && !canAnswer(account, ask)) {
            account.deferredAsks().add(deferred);
            return;
        }
        answer(nowMs, account, deferred, actions);
    }

    /**
     * Answers the deferred asks for which enough tokens are free now or whose time limit has
     * passed.
     */
    void answerDeferred(
            long nowMs, BudgetAccount account, boolean mayDraw, DeferredActions actions) {
        Iterator<DeferredAsk> asks = account.deferredAsks().iterator();
        while (asks.hasNext()) {
            DeferredAsk deferred = asks.next();
            boolean due = !mayDraw || nowMs >= deferred.untilMs();
            if (due || canAnswer(account, deferred.ask())) {
                asks.remove();
                answer(nowMs, account, deferred, actions);
            }
        }
    }

    private static boolean canAnswer(BudgetAccount account, AskGrant ask) {
        return account.moves().pending(ask.asker()).isPresent()
                || (account.waiters().isEmpty() && account.holding().free() >= ask.atLeast());
    }

    private void answer(
            long nowMs, BudgetAccount account, DeferredAsk deferred, DeferredActions actions) {
        AskGrant ask = deferred.ask();
        PeerMessage message =
                account.moves()
                        .pending(ask.asker())
                        .or(() -> startMove(nowMs, account, ask))
                        .map(PeerMessage.class::cast)
                        .orElseGet(() -> new AskRefused(ask.organisation(), ask.budget()));
        actions.add(() -> deferred.reply().accept(message));
    }

    private Optional<MoveGrant> startMove(long nowMs, BudgetAccount account, AskGrant ask) {
        HolderId preferred = new HolderId(ask.asker(), 0);
        Optional<MovedTokens> moved =
                account.holding().takeForMove(preferred, tokensToGive(nowMs, account, ask), 0);
        moved.ifPresent(
                m ->
                        account.moves()
                                .delayResend(
                                        ask.asker(), nowMs + mContext.settings().askTimeoutMs()));
        return moved.map(m -> account.moves().start(ask.asker(), m));
    }

    private long tokensToGive(long nowMs, BudgetAccount account, AskGrant ask) {
        if (!account.waiters().isEmpty()) {
            return 0;
        }
        Holding holding = account.holding();
        long keep = (long) (holding.demand().tokensPerMs(nowMs) * KEEP_HORIZON_MS);
        long spare = Math.max(holding.free() / 2, holding.free() - keep);
        long wanted = Math.min(Math.max(ask.wanted(), ask.atLeast()), spare);
        return Math.max(wanted, Math.min(ask.atLeast(), holding.free()));
    }

    /** Adds the tokens of a move, once, if it is addressed to this incarnation. */
    MoveAck receive(long nowMs, BudgetAccount account, MoveGrant move) {
        boolean addressedHere = move.receiver().equals(mContext.self());
        if (addressedHere && account.moves().recordReceived(move)) {
            Holding holding = account.holding();
            holding.addMoved(move.movedTokens());
            holding.demand().addPeerSpending(nowMs, move.spent());
        }
        return new MoveAck(
                move.organisation(),
                move.budget(),
                move.receiver(),
                move.sequence(),
                addressedHere);
    }
}
