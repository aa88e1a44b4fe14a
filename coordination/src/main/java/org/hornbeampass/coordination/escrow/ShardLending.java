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
    private static final double FLOAT_MS = 1_000;

    /**
     * The part of a budget that is worth handing back by itself. A hundred VMs that each keep less
     * hold half a percent together.
     */
    private static final long LEAST_RETURNED_PART = 20_000;

    /** How often a VM that is no home hands back what it does not need, in milliseconds. */
    private static final long HAND_OVER_MS = 500;

    private final Map<String, EscrowAccount> mAccounts;
    private final KnownBudgets mKnown;
    private final GrantPlan mPlan;
    private final PoolHomes mHomes;
    private final int mPool;
    private long mHandedOverMs = Long.MIN_VALUE / 2;

    ShardLending(
            Map<String, EscrowAccount> accounts,
            KnownBudgets known,
            GrantPlan plan,
            PoolHomes homes,
            int pool) {
        mAccounts = accounts;
        mKnown = known;
        mPlan = plan;
        mHomes = homes;
        mPool = pool;
    }

    /** Adds the tokens that organisations lack at a home that has lost the store. */
    void addLacking(long nowMs, Map<String, Long> lacking) {
        if (!mHomes.isHome(mPool)) {
            return;
        }
        for (String organisation : mKnown.organisations()) {
            EscrowAccount account = mAccounts.get(organisation);
            long target = Math.max(account.wanted(), mPlan.target(nowMs, organisation));
            if (account.free() < target / 2) {
                lacking.put(organisation, target - account.free());
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

    private long lend(long nowMs, LoanRequest request, long spare) {
        long lent = Math.max(0, Math.min(request.tokens(), spare));
        mAccounts.get(request.organisation()).lendToRequests(nowMs, lent);
        return lent;
    }

    /** Returns how many tokens a request's VM asks for beyond those needed. */
    long ahead(long nowMs, String organisation) {
        return (long) (mAccounts.get(organisation).demandPerMs(nowMs) * FLOAT_MS);
    }

    /**
     * Takes out what this VM does not need and hands to a home, where it is time: its surplus and
     * the reporting of what it spent; all that it has where it shuts down.
     */
    List<TokenTransfer> takeGifts(long nowMs, boolean givingBack, BooleanSupplier storeHelps) {
        boolean early = nowMs - mHandedOverMs < HAND_OVER_MS && !givingBack;
        if (early || mHomes.otherVms().isEmpty()) {
            return List.of();
        }
        boolean home = mHomes.isHome(mPool);
        if (home && (!givingBack || storeHelps.getAsBoolean())) {
            return List.of();
        }
        mHandedOverMs = nowMs;
        List<TokenTransfer> gifts = new ArrayList<>();
        for (String organisation : mKnown.organisations()) {
            TokenTransfer gift = gift(nowMs, organisation, givingBack);
            if (gift.tokens() > 0 || gift.spent() > 0) {
                gifts.add(gift);
            }
        }
        return gifts;
    }

    private TokenTransfer gift(long nowMs, String organisation, boolean givingBack) {
        EscrowAccount account = mAccounts.get(organisation);
        long keep = givingBack ? 0 : ahead(nowMs, organisation);
        long surplus = account.free() - keep;
        long least =
                givingBack ? 1 : Math.max(1, mKnown.prepaid(organisation) / LEAST_RETURNED_PART);
        long tokens = surplus >= least ? surplus : 0;
        account.lend(tokens);
        return new TokenTransfer(organisation, tokens, account.handOverSpent());
    }

    /** Returns whether a VM that is no home has handed over all that it can. */
    boolean handedOver() {
        return mAccounts.values().stream().allMatch(a -> a.free() <= 0 && a.unwrittenSpent() == 0);
    }
}
