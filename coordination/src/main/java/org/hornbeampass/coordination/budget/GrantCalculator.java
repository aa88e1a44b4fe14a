package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.budget.BudgetRecord;
import org.hornbeampass.state.config.BudgetPreference;

/**
 * Calculates how many tokens one account draws and returns, by applying a {@link GrantPolicy} to
 * the account and the record of its budget.
 *
 * <p>Immutable; used under the organisation's lock.
 *
 * @param policy the policy
 * @param preference the organisation's preference between few false refusals and few stranded
 *     tokens
 * @param drawingVms the number of VMs that draw from the organisation's budgets
 * @param chunkTokens the tokens that {@link GrantPolicy#FIXED_CHUNK} draws at a time
 * @param mayDrawAhead whether this VM may draw more than its waiting requests need
 * @param refillDue whether this VM may draw although no request waits
 */
record GrantCalculator(
        GrantPolicy policy,
        BudgetPreference preference,
        int drawingVms,
        long chunkTokens,
        boolean mayDrawAhead,
        boolean refillDue) {
    /** Returns the tokens to draw, at most those available. */
    long tokensToDraw(long nowMs, BudgetAccount account, BudgetRecord budget) {
        long available = Math.max(0, budget.available());
        GrantPolicyInput input = policyInput(nowMs, account, budget);
        boolean urgent = input.waiting() > input.free();
        if (!urgent && !refillDue) {
            return 0;
        }
        long wanted = policy.tokensToDraw(input);
        if (!mayDrawAhead) {
            wanted = Math.min(wanted, account.waitingTokens() - account.holding().free());
        }
        return Math.max(0, Math.min(wanted, available));
    }

    /** Returns the free tokens to return to the platform. */
    long tokensToReturn(long nowMs, BudgetAccount account, BudgetRecord budget) {
        return Math.max(0, policy.tokensToReturn(policyInput(nowMs, account, budget)));
    }

    /** Returns whether unneeded tokens are returned at once instead of with the next report. */
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
