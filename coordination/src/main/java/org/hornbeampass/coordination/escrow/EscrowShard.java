package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.Json;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * Manages the budgets that are kept in one record of the store.
 *
 * <p>Invariants: a limit is raised only once the store is known to hold the grant, and lowered
 * before the lower grant is sent. While a write may still be applied, no read of the version on
 * which it was based raises a limit. Not thread-safe; must be used on one thread.
 */
final class EscrowShard implements RecordExchange.Handler {
    /** The minimum interval between exchanges made only to report spending, in milliseconds. */
    private static final long REPORT_INTERVAL_MS = 3_000;

    /**
     * The time after which another VM that waits for an exchange receives what is available, in
     * milliseconds. That VM asks the next one after {@link LoanSearch#PATIENCE_MS}.
     */
    private static final long LENDER_WAIT_MS = 120;

    /**
     * The time for which the store is checked after the last unconfirmed refusal, in milliseconds.
     * Callers retry within their own time limit, which is at most 12 s.
     */
    private static final long RECHECK_MS = 12_000;

    /**
     * The minimum interval between exchanges, in milliseconds. One exchange then serves several
     * requests that wait at a home, even if the home holds less than any of them needs.
     */
    private static final long MIN_INTERVAL_MS = 20;

    /** The minimum interval between exchanges that no request waits for, in milliseconds. */
    private static final long IDLE_INTERVAL_MS = 500;

    /**
     * The minimum interval between exchanges that return the tokens of ended requests during a
     * shutdown, in milliseconds.
     */
    private static final long RETURN_INTERVAL_MS = 200;

    /**
     * The time after which requests no longer wait for an open call to the store, in milliseconds.
     * Replies normally take a few.
     */
    private static final long SLOW_CALL_MS = 150;

    /** Another VM's request for a loan that waits for an exchange since a time in milliseconds. */
    private record WaitingLoan(String organisation, long sinceMs, Runnable answer) {}

    private final EscrowOwner mOwner;
    private final GrantListener mListener;
    private final Map<String, EscrowAccount> mAccounts = new HashMap<>();
    private final GrantPlan mPlan;
    private final KnownBudgets mKnownBudgets = new KnownBudgets();
    private final ExchangeNeed mNeed;
    private final ShardLending mLending;
    private final PoolHomes mHomes;
    private final int mPool;
    private final List<Runnable> mRequestCallbacks = new ArrayList<>();
    private final List<WaitingLoan> mWaitingLoans = new ArrayList<>();

    private final RecordExchange mExchange;
    private boolean mReturning;
    private long mLastExchangeMs = Long.MIN_VALUE / 2;
    private final GrantSuspension mSuspension;
    private Consumer<RecordNotice> mNoticeListener = notice -> {};
    private final DirectExchanges mDirect = new DirectExchanges();

    EscrowShard(
            Platform platform,
            EscrowOwner owner,
            int pool,
            PoolHomes homes,
            GrantPolicy policy,
            GrantListener listener) {
        mHomes = homes;
        mPool = pool;
        mListener = listener;
        mOwner = owner;
        mPlan = new GrantPlan(owner, mKnownBudgets, mAccounts, policy, homes, pool);
        mNeed = new ExchangeNeed(mAccounts, mKnownBudgets, mPlan);
        mSuspension = new GrantSuspension(pool, mKnownBudgets, listener);
        mLending = new ShardLending(mAccounts, mKnownBudgets, mPlan, homes, pool);
        long seed = (long) owner.incarnation().hashCode() + pool;
        mExchange =
                new RecordExchange(platform, "budgets/shard-" + pool, mKnownBudgets, seed, this);
    }

    /** Sets the listener that receives each record that this VM has written. */
    void setNoticeListener(Consumer<RecordNotice> listener) {
        mNoticeListener = listener;
    }

    /** Receives the record that another home has written. */
    void onNotice(RecordNotice notice) {
        Json.decode(notice.record(), EscrowRecord.class)
                .peek(r -> mKnownBudgets.records().onReported(r, notice.version()));
    }

    /**
     * Handles that the store was restored: it may have forgotten grants, which are to be written
     * again before further tokens are granted.
     */
    void onEra(long nowMs, long era) {
        mExchange.onRestored();
        mAccounts.values().forEach(EscrowAccount::onStoreRestored);
        mKnownBudgets.ceilings().onEra();
        mKnownBudgets.records().beginEra(era, mHomes.isHome(mPool));
        mSuspension.onEra(nowMs);
        if (mKnownBudgets.records().isWitnessed()) {
            sendNotice();
        }
        tick(nowMs);
    }

    void setPrepaid(String organisation, long tokens) {
        mKnownBudgets.setPrepaid(organisation, tokens);
        mAccounts.computeIfAbsent(organisation, o -> new EscrowAccount());
    }

    Admission admit(long nowMs, String organisation, long tokens) {
        EscrowAccount account = mAccounts.get(organisation);
        if (account.reserve(tokens)) {
            return Admission.RESERVED;
        }
        boolean exceedsUnspent = tokens > mNeed.unspent(organisation);
        if (exceedsUnspent && mKnownBudgets.isFresh(nowMs, organisation)) {
            return Admission.EXHAUSTED;
        }
        account.addWanted(tokens, nowMs + RECHECK_MS);
        return Admission.INSUFFICIENT_HERE;
    }

    /**
     * Returns whether the store is reachable and may have the tokens that a request waits for, or
     * may confirm that there are none.
     */
    boolean mayObtainTokens(long nowMs, String organisation, long tokens) {
        if (!mExchange.isVersionKnown()
                || isStoreUnreachable(nowMs)
                || !exchangesWithStore(nowMs)) {
            return false;
        }
        return mNeed.mayAnswer(nowMs, organisation, tokens);
    }

    /** Returns whether calls to the store fail, or have been open for too long. */
    boolean isStoreUnreachable(long nowMs) {
        return mExchange.isFailing() || mExchange.openForMs(nowMs) >= SLOW_CALL_MS;
    }

    /**
     * Returns whether the store is unreachable for this VM, or for another VM whose report is newer
     * than the store's last reply to this VM.
     */
    boolean isStoreUnreachableFor(long nowMs, String organisation) {
        return isStoreUnreachable(nowMs) || mKnownBudgets.peerReportedStoreLost(organisation);
    }

    /** Adds the tokens that organisations lack here while the store is unreachable. */
    void addShortfalls(long nowMs, Map<String, Long> shortfalls) {
        if (isStoreUnreachable(nowMs) && !mReturning) {
            mLending.addShortfalls(nowMs, shortfalls);
        }
    }

    /** Lends tokens for future requests at another VM, if the store can replace them. */
    long lendAhead(long nowMs, LoanRequest request) {
        return isStoreUnreachable(nowMs) || mReturning ? 0 : mLending.lendAhead(nowMs, request);
    }

    /**
     * Lends tokens for requests that wait at another VM. If there are too few, and the store may
     * have more, this happens after the next exchange with the store.
     */
    void lendToWaiting(long nowMs, LoanRequest request, LongConsumer done) {
        if (mReturning) {
            done.accept(0);
            return;
        }
        String organisation = request.organisation();
        EscrowAccount account = mAccounts.get(organisation);
        if (request.atHome()) {
            mDirect.allow(nowMs);
        }
        boolean enough = account.free() >= request.needed();
        if (enough || !mayObtainTokens(nowMs, organisation, request.needed())) {
            done.accept(mLending.lendToWaiting(nowMs, request));
            return;
        }
        account.addWanted(request.needed(), nowMs + RECHECK_MS);
        mWaitingLoans.add(
                new WaitingLoan(
                        organisation,
                        nowMs,
                        () -> done.accept(mLending.lendToWaiting(nowMs, request))));
        tick(nowMs);
    }

    /** Returns the tokens to request from other VMs beyond those that a request needs. */
    long extraTokens(long nowMs, String organisation) {
        return mLending.extraTokens(nowMs, organisation);
    }

    /**
     * Allows a VM that finds no home with access to the store to exchange with the store itself,
     * but only for the tokens that its requests need. After all VMs lost power, a VM knows no other
     * for up to a second; the store may turn away the homes while it serves other VMs.
     *
     * @return whether it is worth waiting for the next exchange; false if the store is unreachable,
     *     or if it was already asked and lacks the tokens
     */
    boolean allowStoreExchangesWithoutHomes(long nowMs) {
        boolean allowed =
                mDirect.mayBegin(nowMs)
                        && mExchange.openForMs(nowMs) < SLOW_CALL_MS
                        && !(exchangesWithStore(nowMs) && mExchange.isVersionKnown());
        if (allowed) {
            mDirect.allow(nowMs);
        }
        return allowed;
    }

    BudgetStatus status(long nowMs, String organisation) {
        return mKnownBudgets.status(nowMs, organisation, isStoreUnreachable(nowMs));
    }

    void onPeerStatus(long nowMs, String organisation, BudgetStatus status) {
        mKnownBudgets.onPeerStatus(nowMs, organisation, status);
    }

    long free(String organisation) {
        return mAccounts.get(organisation).free();
    }

    void borrow(String organisation, long tokens) {
        mAccounts.get(organisation).borrow(tokens);
        runCallbacks();
    }

    void settle(long nowMs, String organisation, long reserved, long used) {
        mAccounts.get(organisation).settle(nowMs, reserved, used);
    }

    void afterNextExchange(long nowMs, Runnable action) {
        mRequestCallbacks.add(action);
        tick(nowMs);
    }

    void startReturningTokens(long nowMs) {
        mReturning = true;
        tick(nowMs);
    }

    boolean hasReturnedAllTokens() {
        if (!mHomes.isHome(mPool) && !mHomes.otherHomes(mPool).isEmpty()) {
            return mLending.hasHandedOverAll();
        }
        return mAccounts.values().stream().noneMatch(EscrowAccount::hasUnsettledWithStore);
    }

    /** Deducts and returns the tokens to transfer to a home. */
    List<TokenTransfer> takeTransfers(long nowMs) {
        return mLending.takeTransfers(nowMs, mReturning, () -> !isStoreUnreachable(nowMs));
    }

    void acceptTransfer(long nowMs, TokenTransfer transfer) {
        mAccounts
                .get(transfer.organisation())
                .acceptTransfer(nowMs, transfer.tokens(), transfer.spent());
        if (transfer.tokens() > 0) {
            runRequestCallbacks();
            answerLoans(l -> l.organisation().equals(transfer.organisation()));
        }
    }

    EscrowBook.AdmissionState admissionState(long nowMs, String organisation) {
        return new EscrowBook.AdmissionState(
                free(organisation),
                mKnownBudgets.unallocated(organisation),
                mNeed.unspent(organisation),
                mKnownBudgets.writtenOff(organisation),
                mKnownBudgets.storeReplyAgeMs(nowMs),
                isStoreUnreachableFor(nowMs, organisation));
    }

    void addHoldings(Map<String, EscrowBook.Holding> holdings) {
        mAccounts.forEach(
                (name, a) ->
                        holdings.put(name, new EscrowBook.Holding(a.limit(), a.free(), a.spent())));
    }

    void tick(long nowMs) {
        mSuspension.tick(nowMs);
        mKnownBudgets.ceilings().advanceTo(nowMs);
        answerLoans(l -> nowMs - l.sinceMs() >= LENDER_WAIT_MS);
        if (!mKnownBudgets.organisations().isEmpty()
                && mExchange.isReady(nowMs)
                && isExchangeDue(nowMs)) {
            mExchange.start(nowMs);
        }
    }

    private boolean isExchangeDue(long nowMs) {
        long sinceMs = nowMs - mLastExchangeMs;
        if (mReturning) {
            return exchangesWithStore(nowMs)
                    && sinceMs >= RETURN_INTERVAL_MS
                    && !hasReturnedAllTokens();
        }
        if (!exchangesWithStore(nowMs) || sinceMs < MIN_INTERVAL_MS) {
            return false;
        }
        if (mKnownBudgets.records().hasForgottenGrants()) {
            return true;
        }
        boolean canServeWanted =
                mKnownBudgets.organisations().stream().anyMatch(mNeed::mayServeWanted);
        if (canServeWanted) {
            return true;
        }
        if (sinceMs < IDLE_INTERVAL_MS) {
            return false;
        }
        if (!mRequestCallbacks.isEmpty() || !mWaitingLoans.isEmpty()) {
            return true;
        }
        boolean reportDue = nowMs - mLastExchangeMs >= REPORT_INTERVAL_MS;
        return mKnownBudgets.organisations().stream()
                .anyMatch(o -> mNeed.isWorthwhile(nowMs, o, reportDue));
    }

    /** Returns whether this VM currently exchanges with the store. */
    private boolean exchangesWithStore(long nowMs) {
        boolean mustKeepGrants = mKnownBudgets.records().hasForgottenGrants() && hasGrants();
        return mDirect.areAllowed(nowMs) || mHomes.isHome(mPool) || mustKeepGrants;
    }

    private boolean hasGrants() {
        return mAccounts.values().stream().anyMatch(a -> a.granted() > 0);
    }

    @Override
    public EscrowRecord prepareRecord(long nowMs) {
        mKnownBudgets.ceilings().advanceTo(nowMs);
        mSuspension.onWriteSent();
        EscrowRecord next = mPlan.nextRecord(nowMs, mReturning);
        for (String organisation : mKnownBudgets.organisations()) {
            EscrowAccount account = mAccounts.get(organisation);
            account.setLimit(Math.min(account.limit(), mPlan.ownGrant(next, organisation)));
            account.onWriteSent(mPlan.ownGrant(next, organisation));
        }
        return next;
    }

    @Override
    public boolean mayCreate(long nowMs) {
        return mSuspension.mayCreate(nowMs);
    }

    @Override
    public void onWritten(long nowMs, boolean withForgottenGrants) {
        mLastExchangeMs = nowMs;
        mSuspension.onWritten(nowMs);
        if (withForgottenGrants) {
            mListener.onGrantsWrittenAgain(nowMs, mPool, mKnownBudgets.records().era());
        }
        for (String organisation : mKnownBudgets.organisations()) {
            EscrowRecord written = mKnownBudgets.records().inStore();
            mAccounts.get(organisation).onWritten(mPlan.ownGrant(written, organisation));
        }
        boolean unused = applyRecord(nowMs, false);
        sendNotice();
        mAccounts.values().forEach(EscrowAccount::clearWanted);
        runCallbacks();
    }

    @Override
    public void onFailed(long nowMs) {
        if (!mHomes.isHome(mPool)) {
            mDirect.onFailed(nowMs);
        }
        if (mKnownBudgets.records().isWitnessed()) {
            sendNotice();
        }
        runCallbacks();
    }

    /** Tells the other homes which grants this VM knows, if the store may forget them. */
    private void sendNotice() {
        KnownRecords records = mKnownBudgets.records();
        if (records.era() > 0) {
            String record = Json.encode(records.known());
            mNoticeListener.accept(new RecordNotice(mPool, records.version(), record));
        }
    }

    @Override
    public boolean onRecordRead(long nowMs, boolean writePending) {
        // A write whose reply was lost may have taken effect.
        if (applyRecord(nowMs, writePending)) {
            sendNotice();
        }
        if (mSuspension.mayWrite(nowMs)) {
            return true;
        }
        runCallbacks();
        return false;
    }

    /** Applies the record in the store; returns whether it shows a larger grant of this VM. */
    private boolean applyRecord(long nowMs, boolean writePending) {
        KnownRecords records = mKnownBudgets.records();
        mKnownBudgets.ceilings().advanceTo(nowMs);
        mKnownBudgets.ceilings().onInStore(records.inStore(), records.era());
        boolean raised = false;
        for (String organisation : mKnownBudgets.organisations()) {
            long before = mAccounts.get(organisation).granted();
            applyGrant(nowMs, organisation, writePending);
            raised |= mAccounts.get(organisation).granted() > before;
        }
        return raised;
    }

    private void applyGrant(long nowMs, String organisation, boolean writePending) {
        EscrowRecord.Organisation stored =
                mKnownBudgets.records().inStore().organisation(organisation);
        EscrowRecord.Holder own = stored.holders().get(mOwner.incarnation());
        EscrowAccount account = mAccounts.get(organisation);
        long granted = own == null ? 0 : account.ownPart(own.granted());
        long before = account.granted();
        account.onStoredGrant(
                granted,
                writePending ? Math.min(granted, account.limit()) : granted,
                own == null ? 0 : own.spent());
        if (before == granted) {
            return;
        }
        mListener.onGrant(
                nowMs,
                organisation,
                new GrantListener.Change(
                        before,
                        granted,
                        account.free(),
                        mKnownBudgets.unallocated(organisation),
                        mKnownBudgets.prepaid(organisation) - stored.spent()));
    }

    private void runCallbacks() {
        runRequestCallbacks();
        answerLoans(l -> true);
    }

    private void runRequestCallbacks() {
        List<Runnable> requests = List.copyOf(mRequestCallbacks);
        mRequestCallbacks.clear();
        requests.forEach(Runnable::run);
    }

    private void answerLoans(Predicate<WaitingLoan> due) {
        List<WaitingLoan> answered = mWaitingLoans.stream().filter(due).toList();
        mWaitingLoans.removeAll(answered);
        answered.forEach(l -> l.answer().run());
    }
}
