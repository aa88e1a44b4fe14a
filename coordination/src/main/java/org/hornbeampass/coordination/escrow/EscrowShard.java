package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.Platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongConsumer;

/**
 * The budgets that lie in one record of the store.
 *
 * <p>Invariants: a limit is raised only once the store is known to hold the grant, and lowered
 * before the lower grant is sent; while a write may still be carried out, no read of the version on
 * which it was based raises a limit. Confined to one thread.
 */
final class EscrowShard implements RecordExchange.Handler {
    /** How often spending is reported at most, so that a budget's end is known. */
    private static final long REPORT_INTERVAL_MS = 3_000;

    /**
     * The part of what is unspent that is worth a report by itself: while most of a budget is
     * there, nobody needs to know how much exactly.
     */
    private static final long REPORT_DIVISOR = 50;

    /**
     * For how long a VM that is no home exchanges with the store after it was asked for tokens as
     * if it were one, or found no home that answers, in milliseconds: until members are known.
     */
    private static final long DIRECT_EXCHANGE_MS = 3_000;

    /**
     * How long an exchange may take before another VM that waits for it is answered with what is
     * there, in milliseconds; it gives up after {@link LoanSearch#TIMEOUT_MS}, and what it is lent
     * later is lost.
     */
    private static final long LENDER_WAIT_MS = 60;

    /**
     * How often the store is looked at for an organisation whose requests were refused without a
     * proof: often enough that the next refusal is a proof, where there is one.
     */
    private static final long RECHECK_INTERVAL_MS = KnownBudgets.MAX_PROOF_AGE_MS / 2;

    /**
     * For how long the store is looked at after the last such refusal, in milliseconds: callers
     * come back within their own time limit, which is 12 s at the most on the sheets at hand.
     */
    private static final long RECHECK_MS = 12_000;

    /**
     * The shortest pause between exchanges, in milliseconds, so that requests that wait at a home
     * are served by one of them also where it holds less than one of them needs. Its gain was not
     * measured apart.
     */
    private static final long MIN_INTERVAL_MS = 50;

    /** The shortest pause between exchanges that no request waits for. */
    private static final long IDLE_INTERVAL_MS = 500;

    /** The pause between returns of what requests in progress leave at a shutdown. */
    private static final long RETURN_INTERVAL_MS = 200;

    /** A call that takes longer is no reason for a request to wait; answers take milliseconds. */
    private static final long SLOW_CALL_MS = 150;

    private final EscrowOwner mOwner;
    private final GrantListener mListener;
    private final Map<String, EscrowAccount> mAccounts = new HashMap<>();
    private final GrantPlan mPlan;
    private final KnownBudgets mKnownBudgets = new KnownBudgets();
    private final ShardLending mLending;
    private final PoolHomes mHomes;
    private final int mPool;
    private final List<Runnable> mRequestCallbacks = new ArrayList<>();
    private final List<Runnable> mLenderCallbacks = new ArrayList<>();

    private final RecordExchange mExchange;
    private boolean mReturning;
    private long mLastExchangeMs = Long.MIN_VALUE / 2;
    private long mDirectUntilMs = Long.MIN_VALUE;

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
        mLending = new ShardLending(mAccounts, mKnownBudgets, mPlan, homes, pool);
        long seed = (long) owner.incarnation().hashCode() + pool;
        mExchange =
                new RecordExchange(platform, "budgets/shard-" + pool, mKnownBudgets, seed, this);
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
        boolean exceedsUnspent = tokens > unspent(organisation);
        if (exceedsUnspent && mKnownBudgets.isFresh(nowMs, organisation)) {
            return Admission.EXHAUSTED;
        }
        account.addWanted(tokens, nowMs + RECHECK_MS);
        return Admission.INSUFFICIENT_HERE;
    }

    private long unspent(String organisation) {
        return mKnownBudgets.unspent(organisation, mAccounts.get(organisation));
    }

    /**
     * Returns whether the store can be reached and may have the tokens that a request waits for, or
     * the proof that there are none.
     */
    boolean mayObtainTokens(long nowMs, String organisation, long tokens) {
        if (!mExchange.isVersionKnown()
                || isStoreUnreachable(nowMs)
                || !exchangesWithStore(nowMs)) {
            return false;
        }
        boolean exceedsUnspent = tokens > unspent(organisation);
        return storeMayHave(organisation, tokens)
                || (exceedsUnspent && !mKnownBudgets.isFresh(nowMs, organisation));
    }

    private boolean storeMayHave(String organisation, long tokens) {
        return mKnownBudgets.unallocated(organisation) + mAccounts.get(organisation).free()
                >= tokens;
    }

    /** Returns whether a request waits for tokens that the store may have. */
    private boolean mayServeWanted(String organisation) {
        OptionalLong least = mAccounts.get(organisation).smallestWanted();
        return least.isPresent() && storeMayHave(organisation, least.getAsLong());
    }

    /** Returns whether calls to the store fail, or go without an answer for too long. */
    boolean isStoreUnreachable(long nowMs) {
        return mExchange.isFailing() || mExchange.openForMs(nowMs) >= SLOW_CALL_MS;
    }

    /** Returns whether the store is out of reach here, or at the home that told of it last. */
    boolean isStoreUnreachableFor(long nowMs, String organisation) {
        return isStoreUnreachable(nowMs) || mKnownBudgets.peerReportedStoreLost(organisation);
    }

    /** Adds the tokens that organisations lack here while the store is out of reach. */
    void addShortfalls(long nowMs, Map<String, Long> shortfalls) {
        if (isStoreUnreachable(nowMs) && !mReturning) {
            mLending.addShortfalls(nowMs, shortfalls);
        }
    }

    /**
     * Takes out tokens for requests that will come to another VM, where the store replaces them.
     */
    long lendAhead(long nowMs, LoanRequest request) {
        return isStoreUnreachable(nowMs) || mReturning ? 0 : mLending.lendAhead(nowMs, request);
    }

    /**
     * Takes out tokens for requests that wait at another VM; where there are too few, and the store
     * may have more, after the next exchange with it.
     */
    void lendToWaiting(long nowMs, LoanRequest request, LongConsumer done) {
        if (mReturning) {
            done.accept(0);
            return;
        }
        String organisation = request.organisation();
        EscrowAccount account = mAccounts.get(organisation);
        if (request.atHome()) {
            allowStoreExchanges(nowMs);
        }
        boolean enough = account.free() >= request.needed();
        if (enough || !mayObtainTokens(nowMs, organisation, request.needed())) {
            done.accept(mLending.lendToWaiting(nowMs, request));
            return;
        }
        account.addWanted(request.needed(), nowMs + RECHECK_MS);
        mLenderCallbacks.add(() -> done.accept(mLending.lendToWaiting(nowMs, request)));
        tick(nowMs);
    }

    /** Returns how many tokens to ask other VMs for beyond those that a request needs. */
    long extraTokens(long nowMs, String organisation) {
        return mLending.extraTokens(nowMs, organisation);
    }

    /** Lets this VM exchange with the store for a while, since no home answers. */
    void allowStoreExchanges(long nowMs) {
        mDirectUntilMs = nowMs + DIRECT_EXCHANGE_MS;
    }

    /**
     * Lets a VM that knows no other exchange with the store for what its requests need, and for no
     * more, since it is no home. A VM knows nobody for up to a second after all have lost power.
     *
     * @return whether it is worth waiting for the next exchange: not where the store is out of
     *     reach, or is being asked already and lacks the tokens
     */
    boolean allowStoreExchangesWithoutPeers(long nowMs) {
        boolean allowed =
                !isStoreUnreachable(nowMs)
                        && !(exchangesWithStore(nowMs) && mExchange.isVersionKnown());
        if (allowed) {
            allowStoreExchanges(nowMs);
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

    /** Takes out what this VM hands to a home. */
    List<TokenTransfer> takeTransfers(long nowMs) {
        return mLending.takeTransfers(nowMs, mReturning, () -> !isStoreUnreachable(nowMs));
    }

    void acceptTransfer(long nowMs, TokenTransfer transfer) {
        mAccounts
                .get(transfer.organisation())
                .acceptTransfer(nowMs, transfer.tokens(), transfer.spent());
        runCallbacks();
    }

    EscrowBook.AdmissionState admissionState(long nowMs, String organisation) {
        return new EscrowBook.AdmissionState(
                free(organisation),
                mKnownBudgets.unallocated(organisation),
                unspent(organisation),
                mKnownBudgets.storeReplyAgeMs(nowMs),
                isStoreUnreachableFor(nowMs, organisation));
    }

    void addHoldings(Map<String, EscrowBook.Holding> holdings) {
        mAccounts.forEach(
                (name, a) ->
                        holdings.put(name, new EscrowBook.Holding(a.limit(), a.free(), a.spent())));
    }

    void tick(long nowMs) {
        if (mExchange.openForMs(nowMs) >= LENDER_WAIT_MS) {
            run(mLenderCallbacks);
        }
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
        boolean canServeWanted =
                mKnownBudgets.organisations().stream().anyMatch(this::mayServeWanted);
        if (canServeWanted) {
            return true;
        }
        if (sinceMs < IDLE_INTERVAL_MS) {
            return false;
        }
        if (!mRequestCallbacks.isEmpty() || !mLenderCallbacks.isEmpty()) {
            return true;
        }
        boolean reportDue = nowMs - mLastExchangeMs >= REPORT_INTERVAL_MS;
        return mKnownBudgets.organisations().stream()
                .anyMatch(o -> needsExchange(nowMs, o, reportDue));
    }

    /** Returns whether this VM is one of those that exchange with the store. */
    private boolean exchangesWithStore(long nowMs) {
        return nowMs < mDirectUntilMs || mHomes.isHome(mPool);
    }

    private boolean needsExchange(long nowMs, String organisation, boolean reportDue) {
        EscrowAccount account = mAccounts.get(organisation);
        if (!mKnownBudgets.isRecordKnown()
                || (account.isRecheckDue(nowMs)
                        && !mKnownBudgets.repliedWithin(nowMs, RECHECK_INTERVAL_MS))) {
            return true;
        }
        if (reportDue && isWorthReporting(account, organisation)) {
            return true;
        }
        long target = mPlan.target(nowMs, organisation);
        boolean belowTarget =
                account.free() < target / 2
                        && mPlan.isWorthTaking(organisation, target - account.free());
        return belowTarget
                || mPlan.isWorthReturning(organisation, target, returnableTokens(account, target));
    }

    /**
     * Returns what this VM can return to the store: only what the store has granted to it. What
     * others handed over stays for their requests; homes that held such tokens wrote the same
     * record every 600 ms.
     */
    private static long returnableTokens(EscrowAccount account, long target) {
        return Math.min(account.free() - target, account.granted());
    }

    /** Returns whether a budget's end would be known noticeably later without a report. */
    private boolean isWorthReporting(EscrowAccount account, String organisation) {
        long unreported = account.spent() - account.reportedSpent();
        return unreported > 0 && unreported >= unspent(organisation) / REPORT_DIVISOR;
    }

    @Override
    public EscrowRecord prepareRecord(long nowMs) {
        EscrowRecord next = mPlan.nextRecord(nowMs, mReturning);
        for (String organisation : mKnownBudgets.organisations()) {
            EscrowAccount account = mAccounts.get(organisation);
            account.setLimit(Math.min(account.limit(), mPlan.ownGrant(next, organisation)));
            account.onWriteSent();
        }
        return next;
    }

    @Override
    public void onWritten(long nowMs) {
        mLastExchangeMs = nowMs;
        onRecordRead(nowMs, false);
        mAccounts.values().forEach(EscrowAccount::clearWanted);
        runCallbacks();
    }

    @Override
    public void onFailed(long nowMs) {
        runCallbacks();
    }

    @Override
    public void onRecordRead(long nowMs, boolean writePending) {
        mKnownBudgets.organisations().forEach(name -> applyRecord(nowMs, name, writePending));
    }

    private void applyRecord(long nowMs, String organisation, boolean writePending) {
        EscrowRecord.Organisation stored = mKnownBudgets.stored(organisation);
        EscrowRecord.Holder own = stored.holders().get(mOwner.incarnation());
        long granted = own == null ? 0 : own.granted();
        EscrowAccount account = mAccounts.get(organisation);
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
        run(mRequestCallbacks);
        run(mLenderCallbacks);
    }

    private static void run(List<Runnable> actions) {
        List<Runnable> pending = List.copyOf(actions);
        actions.clear();
        pending.forEach(Runnable::run);
    }
}
