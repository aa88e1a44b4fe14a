package org.hornbeampass.coordination.escrow;

import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides whether an exchange with the store is worthwhile for an organisation: to obtain or return
 * tokens, to report spending, or to confirm that a budget is used up.
 *
 * <p>Not thread-safe; must be used on one thread.
 */
final class ExchangeNeed {
    /**
     * Spending is reported only if it is at least the unspent tokens divided by this number: while
     * most of a budget is left, the other VMs do not need the exact amount.
     */
    private static final long REPORT_DIVISOR = 50;

    /**
     * The interval at which the store is checked for an organisation whose requests were refused
     * without confirmation that its budget is used up. It is short enough that the next refusal can
     * be confirmed.
     */
    private static final long RECHECK_INTERVAL_MS = KnownBudgets.MAX_PROOF_AGE_MS / 2;

    private final Map<String, EscrowAccount> mAccounts;
    private final KnownBudgets mKnownBudgets;
    private final GrantPlan mPlan;

    ExchangeNeed(Map<String, EscrowAccount> accounts, KnownBudgets knownBudgets, GrantPlan plan) {
        mAccounts = accounts;
        mKnownBudgets = knownBudgets;
        mPlan = plan;
    }

    /** Returns the tokens not known to be spent by any VM. */
    long unspent(String organisation) {
        return mKnownBudgets.unspent(organisation, mAccounts.get(organisation));
    }

    /** Returns whether the store may have as many tokens for this VM. */
    boolean storeMayHave(String organisation, long tokens) {
        return mKnownBudgets.obtainable(organisation) + mAccounts.get(organisation).free()
                >= tokens;
    }

    /**
     * Returns whether the next exchange may yield the tokens of a request or confirm that there are
     * none. A record that shows too few tokens is asked for again once it is {@link
     * #RECHECK_INTERVAL_MS} old, since other VMs return tokens and report spending.
     */
    boolean mayAnswer(long nowMs, String organisation, long tokens) {
        if (storeMayHave(organisation, tokens)) {
            return true;
        }
        boolean usedUp =
                tokens > unspent(organisation) && mKnownBudgets.isFresh(nowMs, organisation);
        return !usedUp && !mKnownBudgets.repliedWithin(nowMs, RECHECK_INTERVAL_MS);
    }

    /** Returns whether a request waits for tokens that the store may have. */
    boolean mayServeWanted(String organisation) {
        OptionalLong least = mAccounts.get(organisation).smallestWanted();
        return least.isPresent() && storeMayHave(organisation, least.getAsLong());
    }

    /**
     * Returns whether an exchange is worthwhile although no request waits for it.
     *
     * @param nowMs the current time in milliseconds
     * @param organisation the organisation's name
     * @param reportDue whether spending alone may be reported now
     */
    boolean isWorthwhile(long nowMs, String organisation, boolean reportDue) {
        EscrowAccount account = mAccounts.get(organisation);
        if (!mKnownBudgets.isRecordKnown()
                || (account.hasUnconfirmedRefusals(nowMs)
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
     * Returns the tokens that this VM can return to the store: at most those that the store granted
     * to it. Tokens transferred by other VMs are kept for their requests; otherwise a home that
     * held such tokens would write the same record every 600 ms.
     */
    private static long returnableTokens(EscrowAccount account, long target) {
        return Math.min(account.free() - target, account.granted());
    }

    /**
     * Returns whether, without a report, the end of a budget would be detected noticeably later.
     */
    private boolean isWorthReporting(EscrowAccount account, String organisation) {
        long unreported = account.spent() - account.reportedSpent();
        return unreported > 0 && unreported >= unspent(organisation) / REPORT_DIVISOR;
    }
}
