package org.hornbeampass.coordination.escrow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * What this VM hands to other VMs of the budgets of one record, and what it needs of them.
 *
 * <p>Invariant: what is handed over was free and is taken out before. Confined to one thread.
 */
final class ShardLending {
    /**
     * For how much of its own demand a VM that is no home keeps tokens, in milliseconds: long
     * enough that a busy organisation doesn't ask a home for each request, short enough that a
     * hundred VMs hold little of a budget together.
     */
    private static final double KEPT_DEMAND_MS = 1_000;

    /**
     * The part of a budget that is worth handing back by itself. A hundred VMs that each keep less
     * hold half a percent together.
     */
    private static final long MIN_RETURN_DIVISOR = 20_000;

    /** How often a VM that is no home hands back what it does not need, in milliseconds. */
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

    /** Adds the tokens that organisations lack at a home that has lost the store. */
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
     * Takes out tokens for requests that will come to another VM: up to half of what is free. VMs
     * that all miss the store would only pass tokens round.
     */
    long lendAhead(long nowMs, LoanRequest request) {
        EscrowAccount account = mAccounts.get(request.organisation());
        return lend(nowMs, request, account.free() / 2);
    }

    /**
     * Takes out tokens for requests that wait at another VM: all that are free, if they need them.
     * A request that is here is worth as much as one that may come later, which can borrow in its
     * turn.
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

    /** Returns how many tokens a request's VM asks for beyond those needed. */
    long extraTokens(long nowMs, String organisation) {
        return (long) (mAccounts.get(organisation).demandPerMs(nowMs) * KEPT_DEMAND_MS);
    }

    /**
     * Takes out what this VM does not need and hands to a home, where it is time: its surplus and
     * the reporting of what it spent; all that it has where it shuts down.
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

    /** Returns whether a VM that is no home has handed over all that it can. */
    boolean hasHandedOverAll() {
        return mAccounts.values().stream()
                .allMatch(a -> a.free() <= 0 && a.neverWrittenSpent() == 0);
    }
}
