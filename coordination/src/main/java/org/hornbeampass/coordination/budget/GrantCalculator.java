package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.config.BudgetPreference;

/**
 * Applies a {@link GrantPolicy} to one account and the record of its budget.
 *
 * <p>Immutable; used under the organisation's lock.
 *
 * @param policy the policy
 * @param preference what the organisation weighs more
 * @param drawingVms the number of VMs that draw on its budgets
 * @param chunkTokens the settings' fixed grant
 * @param mayDrawAhead whether this VM may draw more than its requests wait for
 * @param refillDue whether this VM may draw though no request waits
 */
record GrantCalculator(
        GrantPolicy policy,
        BudgetPreference preference,
        int drawingVms,
        long chunkTokens,
        boolean mayDrawAhead,
        boolean refillDue) {
    /** Returns the tokens to draw, at most what is available. */
    long tokensToDraw(long nowMs, BudgetAccount account, BudgetRecord budget) {
        long available = Math.max(0, budget.available());
        GrantPolicyInput need = policyInput(nowMs, account, budget);
        boolean urgent = need.waiting() > need.free();
        if (!urgent && !refillDue) {
            return 0;
        }
        long wanted = policy.tokensToDraw(need);
        if (!mayDrawAhead) {
            wanted = Math.min(wanted, account.waitingTokens() - account.holding().free());
        }
        return Math.max(0, Math.min(wanted, available));
    }

    /** Returns the free tokens to give back. */
    long tokensToReturn(long nowMs, BudgetAccount account, BudgetRecord budget) {
        return Math.max(0, policy.tokensToReturn(policyInput(nowMs, account, budget)));
    }

    /** Returns whether what is not needed goes back with no wait for the next report. */
    boolean returnsImmediately() {
        return policy == GrantPolicy.WRITE_PER_REQUEST;
    }

    private GrantPolicyInput policyInput(long nowMs, BudgetAccount account, BudgetRecord budget) {
        Holding holding = account.holding();
        return new GrantPolicyInput(
                budget.paid(),
                Math.max(0, budget.available()),
                holding.drawn(),
                holding.free(),
                account.waitingTokens() + account.peerWaitingTokens(),
                holding.demand().largestDemand(),
                holding.demand().tokensPerMs(nowMs),
                Math.max(1, drawingVms),
                preference.demandHorizonMs(),
                preference.grantableShare(),
                chunkTokens);
    }
}
