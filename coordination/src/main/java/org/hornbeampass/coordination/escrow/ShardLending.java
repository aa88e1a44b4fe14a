package org.hornbeampass.coordination.escrow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Lends and transfers tokens of the budgets of one store record to other VMs, and determines how
 * many tokens this VM needs from them.
 *
 * <p>Invariant: tokens are sent only if they are free and have been deducted before. Not
 * thread-safe; must be used on one thread.
 */
final class ShardLending {
    /**
     * The time for which a VM that is not a home keeps tokens to meet its own demand, in
     * milliseconds. It is long enough that a busy organisation does not ask a home for each
     * request, and short enough that a hundred VMs together hold little of a budget.
     */
    private static final double KEPT_DEMAND_MS = 1_000;

    /**
     * Tokens are transferred back only if they are at least the budget divided by this number. A
     * hundred VMs that each keep less hold at most half a percent together.
     */
    private static final long MIN_RETURN_DIVISOR = 20_000;

    /** The interval at which a VM that is not a home transfers unneeded tokens, in milliseconds. */
    private static final long HAND_OVER_INTERVAL_MS = 500;

    private final Map<String, EscrowAccount> mAccounts;
    private final KnownBudgets mKnownBudgets;
    private final GrantPlan mPlan;
    private final PoolHomes mHomes;
    private final int mPool;
    private long mLastHandOverMs = Long.MIN_VALUE / 2;

    ShardLending(
            Map<String, EscrowAccount> accounts,
            KnownBudgets knownBudgets,
            GrantPlan plan,
            PoolHomes homes,
            int pool) {
        mAccounts = accounts;
        mKnownBudgets = knownBudgets;
        mPlan = plan;
        mHomes = homes;
        mPool = pool;
    }

    /** Adds the tokens that organisations lack at a home for which the store is unreachable. */
    void addShortfalls(long nowMs, Map<String, Long> shortfalls) {
        if (!mHomes.isHome(mPool)) {
            return;
        }
        for (String organisation : mKnownBudgets.organisations()) {
            EscrowAccount account = mAccounts.get(organisation);
            long target = Math.max(account.wanted(), mPlan.target(nowMs, organisation));
            if (account.free() < target / 2) {
                shortfalls.put(organisation, target - account.free());
            }
        }
    }

    /**
     * Lends up to half of the free tokens for future requests at another VM. The limit matters
     * because VMs that all lack the store would otherwise only pass tokens around.
     */
    long lendAhead(long nowMs, LoanRequest request) {
        EscrowAccount account = mAccounts.get(request.organisation());
        return lend(nowMs, request, account.free() / 2);
    }

    /**
     * Lends tokens for requests that wait at another VM: all free ones if they are needed. A
     * waiting request has priority over one that may come later, since the later one can borrow as
     * well.
     */
    long lendToWaiting(long nowMs, LoanRequest request) {
        EscrowAccount account = mAccounts.get(request.organisation());
        long free = account.free();
        return lend(nowMs, request, Math.max(Math.min(free, request.needed()), free / 2));
    }

    private long lend(long nowMs, LoanRequest request, long available) {
        long lent = Math.max(0, Math.min(request.tokens(), available));
        mAccounts.get(request.organisation()).lendToRequests(nowMs, lent);
        return lent;
    }

    /** Returns the tokens that this VM requests beyond those that a request needs. */
    long extraTokens(long nowMs, String organisation) {
        return (long) (mAccounts.get(organisation).demandPerMs(nowMs) * KEPT_DEMAND_MS);
    }

    /**
     * Deducts and returns the tokens to transfer to a home, if a transfer is due: this VM's surplus
     * and the duty to report its spending, or all of its tokens during a shutdown.
     */
    List<TokenTransfer> takeTransfers(
            long nowMs, boolean returning, BooleanSupplier storeReachable) {
        boolean tooEarly = nowMs - mLastHandOverMs < HAND_OVER_INTERVAL_MS && !returning;
        if (tooEarly || mHomes.otherVms().isEmpty()) {
            return List.of();
        }
        boolean home = mHomes.isHome(mPool);
        if (home && (!returning || storeReachable.getAsBoolean())) {
            return List.of();
        }
        mLastHandOverMs = nowMs;
        List<TokenTransfer> transfers = new ArrayList<>();
        for (String organisation : mKnownBudgets.organisations()) {
            TokenTransfer transfer = takeTransfer(nowMs, organisation, returning);
            if (transfer.tokens() > 0 || transfer.spent() > 0) {
                transfers.add(transfer);
            }
        }
        return transfers;
    }

    private TokenTransfer takeTransfer(long nowMs, String organisation, boolean returning) {
        EscrowAccount account = mAccounts.get(organisation);
        long kept = returning ? 0 : extraTokens(nowMs, organisation);
        long surplus = account.free() - kept;
        long minimum =
                returning
                        ? 1
                        : Math.max(1, mKnownBudgets.prepaid(organisation) / MIN_RETURN_DIVISOR);
        long tokens = surplus >= minimum ? surplus : 0;
        account.lend(tokens);
        return new TokenTransfer(organisation, tokens, account.takeUnreportedSpent());
    }

    /** Returns whether a VM that is not a home has transferred all the tokens that it can. */
    boolean hasHandedOverAll() {
        return mAccounts.values().stream()
                .allMatch(a -> a.free() <= 0 && a.neverWrittenSpent() == 0);
    }
}
