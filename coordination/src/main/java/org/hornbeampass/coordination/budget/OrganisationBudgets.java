package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.agrona.collections.Object2ObjectHashMap;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.budget.HolderId;
import org.hornbeampass.state.budget.HolderRecord;
import org.hornbeampass.state.budget.LedgerRecord;
import org.hornbeampass.state.budget.Reservation;
import org.hornbeampass.state.config.BudgetPreference;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * State of all budgets of one organisation on this VM.
 *
 * <p>Invariant: at most one platform call is in flight, and each write contains the changes of all
 * budgets. Thread-safe: one lock guards all state, it is never held together with another lock, and
 * calls and callbacks run after it is released.
 */
final class OrganisationBudgets {
    private static final long IDLE_TICK_MS = 1_000;

    private final Object mLock = new Object();
    private final OrganisationId mOrganisation;
    private final BudgetContext mContext;
    private final Admission mAdmission;
    private final Object2ObjectHashMap<BudgetId, BudgetAccount> mAccounts =
            new Object2ObjectHashMap<>();
    private final Set<VmId> mGoneVms = new HashSet<>();
    private final LedgerSync mSync;
    private final GrantExchange mExchange;
    private BudgetPreference mPreference = BudgetPreference.AVOID_STRANDING;
    private boolean mClosing;
    private boolean mTickNeeded;
    private long mNextIdleTickMs = Long.MIN_VALUE;
    private long mLastReportMs = Long.MIN_VALUE / 2;
    private long mLastWriteMs = Long.MIN_VALUE / 2;

    OrganisationBudgets(
            OrganisationId organisation, BudgetContext context, AtomicLong reservationNumbers) {
        mOrganisation = organisation;
        mContext = context;
        int seed = 31 * context.self().hashCode() + organisation.hashCode();
        mSync = new LedgerSync(organisation, context.settings(), seed);
        mExchange = new GrantExchange(organisation, context);
        mAdmission = new Admission(context.settings(), mSync, reservationNumbers);
    }

    Either<Failure, Reservation> tryReserve(
            long nowMs, BudgetKey key, RequestId request, long tokens) {
        synchronized (mLock) {
            if (mClosing) {
                return Either.left(BudgetFailures.shuttingDown());
            }
            mTickNeeded = true;
            BudgetAccount account = account(key);
            account.holding().demand().addDemand(nowMs, tokens);
            Optional<Reservation> reserved = mAdmission.tryReserve(account, request, tokens);
            if (reserved.isPresent()) {
                return Either.right(reserved.get());
            }
            return Either.left(mAdmission.refusalFailure(nowMs, account, tokens));
        }
    }

    void reserve(
            long nowMs,
            BudgetKey key,
            RequestId request,
            long tokens,
            long waitMs,
            BiConsumer<Long, Either<Failure, Reservation>> done) {
        Either<Failure, Reservation> immediate = tryReserve(nowMs, key, request, tokens);
        if (immediate.isRight() || immediate.getLeft().kind() == ErrorKind.SHUTTING_DOWN) {
            done.accept(nowMs, immediate);
            return;
        }
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            enqueue(
                    nowMs,
                    account(key),
                    new Waiter(request, tokens, nowMs + waitMs, done),
                    actions);
        }
        actions.run();
    }

    private void enqueue(
            long nowMs, BudgetAccount account, Waiter waiter, DeferredActions actions) {
        if (mAdmission.knownExhausted(nowMs, account, waiter.tokens())) {
            mAdmission.refuse(nowMs, account, waiter, actions);
            return;
        }
        if (account.waiters().size() >= mContext.settings().maxWaiters()) {
            Failure full =
                    BudgetFailures.tooManyWait(account.key(), mContext.settings().backoffMaxMs());
            actions.add(() -> waiter.done().accept(nowMs, Either.left(full)));
            return;
        }
        account.waiters().add(waiter);
        advance(nowMs, actions);
    }

    void settle(long nowMs, Reservation reservation, long usedTokens) {
        changeHolding(
                nowMs,
                reservation.key(),
                holding -> holding.settle(reservation.number(), usedTokens));
    }

    void refund(long nowMs, BudgetKey key, long tokens) {
        changeHolding(nowMs, key, holding -> holding.refund(tokens));
    }

    private void changeHolding(long nowMs, BudgetKey key, Consumer<Holding> action) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            mTickNeeded = true;
            BudgetAccount account = account(key);
            action.accept(account.holding());
            mAdmission.admitWaiters(nowMs, account, actions);
            if (mContext.policy() == GrantPolicy.WRITE_PER_REQUEST) {
                advance(nowMs, actions);
            }
        }
        actions.run();
    }

    void tick(long nowMs) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            if (!mTickNeeded && nowMs < mNextIdleTickMs) {
                return;
            }
            mNextIdleTickMs = nowMs + IDLE_TICK_MS;
            mTickNeeded = hasTimedWork();
            advance(nowMs, actions);
        }
        actions.run();
    }

    private boolean hasTimedWork() {
        for (BudgetAccount account : mAccounts.values()) {
            if (account.hasTimedWork()) {
                return true;
            }
        }
        return mClosing;
    }

    void startHandOver(long nowMs) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            mClosing = true;
            for (BudgetAccount account : mAccounts.values()) {
                mAdmission.refuseAll(nowMs, account, BudgetFailures.shuttingDown(), actions);
            }
            advance(nowMs, actions);
        }
        actions.run();
    }

    void markClosing() {
        synchronized (mLock) {
            mClosing = true;
        }
    }

    boolean handedOver() {
        synchronized (mLock) {
            for (BudgetAccount account : mAccounts.values()) {
                Holding holding = account.holding();
                boolean empty = holding.free() == 0 && holding.reserved() == 0;
                boolean moving = account.moves().anyPending();
                if (!empty
                        || moving
                        || holding.registered()
                        || holding.hasUnreportedChanges(HolderRecord.NONE)) {
                    return false;
                }
            }
            return !mSync.inFlight();
        }
    }

    void onVmGone(long nowMs, VmId vm) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            mTickNeeded = true;
            mGoneVms.add(vm);
            mContext.unresponsivePeers().remove(vm);
            for (BudgetAccount account : mAccounts.values()) {
                account.moves().removeReceiver(vm);
            }
            mSync.discardRecord();
            advance(nowMs, actions);
        }
        actions.run();
    }

    void onPreference(BudgetPreference preference) {
        synchronized (mLock) {
            mPreference = preference;
        }
    }

    void onAsk(long nowMs, AskGrant ask, Consumer<PeerMessage> reply) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            mTickNeeded = true;
            BudgetAccount account = account(new BudgetKey(ask.organisation(), ask.budget()));
            boolean mayDefer = mayDraw() && !platformCannotHelp(nowMs, account, ask.atLeast());
            mExchange.answer(nowMs, account, ask, mayDefer, reply, actions);
            advance(nowMs, actions);
        }
        actions.run();
    }

    private boolean mayDraw() {
        return !mClosing && !mSync.unreachable() && mContext.isHome(mOrganisation);
    }

    void onMove(long nowMs, MoveGrant move, Consumer<PeerMessage> reply) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            mTickNeeded = true;
            BudgetAccount account = account(new BudgetKey(move.organisation(), move.budget()));
            MoveAck ack = mExchange.receive(nowMs, account, move);
            actions.add(() -> reply.accept(ack));
            mAdmission.admitWaiters(nowMs, account, actions);
            advance(nowMs, actions);
        }
        actions.run();
    }

    void onAck(MoveAck ack) {
        synchronized (mLock) {
            account(new BudgetKey(ack.organisation(), ack.budget())).moves().acknowledge(ack);
        }
    }

    Optional<HoldingView> view(BudgetKey key) {
        synchronized (mLock) {
            return Optional.ofNullable(mAccounts.get(key.budget()))
                    .map(a -> HoldingView.of(a.holding(), a.waiters().size()));
        }
    }

    long platformCalls() {
        synchronized (mLock) {
            return mSync.calls();
        }
    }

    private BudgetAccount account(BudgetKey key) {
        BudgetAccount account = mAccounts.get(key.budget());
        if (account == null) {
            account = new BudgetAccount(key, mContext.self(), mContext.unresponsivePeers());
            mAccounts.put(key.budget(), account);
        }
        return account;
    }

    /**
     * Performs all work that is due: admits and refuses waiting requests, answers deferred asks,
     * calls the platform, and sends moves and asks.
     */
    private void advance(long nowMs, DeferredActions actions) {
        boolean mayDraw = mayDraw();
        for (BudgetAccount account : mAccounts.values()) {
            mAdmission.admitWaiters(nowMs, account, actions);
            mExchange.answerDeferred(nowMs, account, mayDraw, actions);
        }
        syncIfDue(nowMs, actions);
        boolean direct = mClosing || mContext.isHome(mOrganisation);
        for (BudgetAccount account : mAccounts.values()) {
            mExchange.sendMoves(nowMs, account, direct, actions, this);
            askIfNeeded(nowMs, account, direct, actions);
            mAdmission.refuseExpired(nowMs, account, actions);
        }
    }

    private void askIfNeeded(
            long nowMs, BudgetAccount account, boolean direct, DeferredActions actions) {
        long waiting = account.waitingTokens();
        if (direct && (waiting == 0 || !platformCannotHelp(nowMs, account, waiting))) {
            account.askRound().endIfIdle(nowMs);
            return;
        }
        mExchange.ask(
                nowMs,
                account,
                mPreference,
                () -> AskCandidates.of(mContext, account, direct, mSync.lastRecord()),
                actions,
                this);
    }

    private boolean platformCannotHelp(long nowMs, BudgetAccount account, long waiting) {
        if (mSync.unreachable()) {
            return true;
        }
        long missing = waiting - account.holding().free();
        return mSync.freshWithin(nowMs, mContext.settings().maxRecordAgeMs())
                && mSync.lastRecord().get().budget(account.key().budget()).available() < missing;
    }

    void onAskReply(long nowMs, BudgetKey key, Either<Failure, PeerMessage> reply) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            BudgetAccount account = account(key);
            account.askRound().onAskEnded(reply.isRight());
            if (reply.isRight() && reply.get() instanceof MoveGrant move) {
                MoveAck ack = mExchange.receive(nowMs, account, move);
                account.askRound().onTokensReceived();
                String giver = move.giver().name();
                actions.add(() -> mContext.peers().send(giver, ack));
            }
            advance(nowMs, actions);
        }
        actions.run();
    }

    void onMoveReply(Either<Failure, PeerMessage> reply) {
        if (reply.isRight() && reply.get() instanceof MoveAck ack) {
            onAck(ack);
        }
    }

    private void syncIfDue(long nowMs, DeferredActions actions) {
        if (!mSync.mayCall(nowMs)) {
            return;
        }
        boolean due = nowMs - mLastReportMs >= mContext.settings().reportIntervalMs();
        if (mSync.lastRecord().isEmpty()) {
            if (needsPlatform(nowMs)) {
                submitRead(nowMs, mSync.startRead(), actions);
            }
            return;
        }
        LedgerWritePlan plan = plan(nowMs, mSync.lastRecord().get(), due);
        Optional<LedgerRecord> next = plan.result();
        if (next.isPresent()) {
            if (due) {
                mLastReportMs = nowMs;
            }
            mLastWriteMs = nowMs;
            submitWrite(nowMs, plan, next.get(), actions);
            return;
        }
        if (isRefreshDue(nowMs)) {
            submitRead(nowMs, mSync.startRead(), actions);
        }
    }

    private LedgerWritePlan plan(long nowMs, LedgerRecord base, boolean due) {
        boolean home = mContext.isHome(mOrganisation);
        int sharers = mContext.homes().homes(mOrganisation).size();
        GrantCalculator calculator =
                new GrantCalculator(
                        mContext.policy(),
                        mPreference,
                        sharers,
                        mContext.settings().chunkTokens(),
                        home,
                        nowMs - mLastWriteMs >= mContext.settings().refillIntervalMs());
        LedgerWritePlan plan = new LedgerWritePlan(base, calculator, due, mClosing);
        plan.closeGoneHolders(this::isGone);
        for (BudgetAccount account : mAccounts.values()) {
            if (usesPlatform(account, home)) {
                plan.addAccount(nowMs, account);
            }
        }
        return plan;
    }

    private boolean isGone(HolderId holder) {
        VmId vm = holder.vm();
        VmId self = mContext.self();
        boolean ownFormerIncarnation =
                vm.name().equals(self.name()) && vm.incarnation() < self.incarnation();
        return ownFormerIncarnation || mGoneVms.contains(vm);
    }

    private boolean usesPlatform(BudgetAccount account, boolean home) {
        return home
                || mClosing
                || account.holding().mayHaveEntry()
                || (!account.waiters().isEmpty() && account.askRound().failed());
    }

    private boolean needsPlatform(long nowMs) {
        boolean home = mContext.isHome(mOrganisation);
        for (BudgetAccount account : mAccounts.values()) {
            boolean needed =
                    !account.waiters().isEmpty()
                            || account.peerWaitingTokens() > 0
                            || account.holding().free() > 0
                            || account.holding().mayHaveEntry()
                            || account.holding().hasUnreportedChanges(HolderRecord.NONE)
                            || account.holding().demand().tokensPerMs(nowMs) > 0;
            if (needed && usesPlatform(account, home)) {
                return true;
            }
        }
        return home && !mGoneVms.isEmpty();
    }

    private boolean isRefreshDue(long nowMs) {
        boolean waiting = false;
        boolean holding = false;
        for (BudgetAccount account : mAccounts.values()) {
            waiting |= !account.waiters().isEmpty() || account.peerWaitingTokens() > 0;
            holding |= account.holding().registered();
        }
        if (waiting && !mSync.freshWithin(nowMs, mContext.settings().maxRecordAgeMs())) {
            return needsPlatform(nowMs);
        }
        return holding && !mSync.freshWithin(nowMs, mContext.settings().refreshIntervalMs());
    }

    private void submitRead(long nowMs, PlatformCall call, DeferredActions actions) {
        actions.add(() -> mContext.platform().submit(nowMs, call, (at, r) -> onRead(nowMs, at, r)));
    }

    private void submitWrite(
            long nowMs, LedgerWritePlan plan, LedgerRecord next, DeferredActions actions) {
        PlatformCall call = mSync.startWrite(next);
        actions.add(
                () ->
                        mContext.platform()
                                .submit(nowMs, call, (at, r) -> onWrite(nowMs, at, plan, next, r)));
    }

    private void onRead(long submittedMs, long nowMs, PlatformReply reply) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            if (mSync.onReadReply(submittedMs, nowMs, reply)) {
                applyRecord();
            }
            advance(nowMs, actions);
        }
        actions.run();
    }

    private void onWrite(
            long submittedMs,
            long nowMs,
            LedgerWritePlan plan,
            LedgerRecord written,
            PlatformReply reply) {
        DeferredActions actions = new DeferredActions();
        synchronized (mLock) {
            if (reply instanceof PlatformReply.Unavailable) {
                plan.writtenHoldings().forEach(Holding::onWriteOutcomeUnknown);
            }
            if (reply instanceof PlatformReply.Written) {
                plan.writtenHoldings().forEach(Holding::onWritten);
            }
            if (mSync.onWriteReply(submittedMs, nowMs, written, reply)) {
                applyRecord();
            }
            advance(nowMs, actions);
        }
        actions.run();
    }

    private void applyRecord() {
        LedgerRecord record = mSync.lastRecord().orElseThrow();
        for (BudgetAccount account : mAccounts.values()) {
            account.holding().applyRecord(record.budget(account.key().budget()));
        }
        mGoneVms.removeIf(
                vm ->
                        record.budgets().values().stream()
                                .flatMap(b -> b.holders().keySet().stream())
                                .noneMatch(h -> h.vm().equals(vm)));
    }
}
