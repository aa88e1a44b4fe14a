package org.hornbeampass.experiment.budget;

import org.hornbeampass.state.config.BudgetPreference;

/**
 * A deployment at today's size: 8 VMs in 3 failure domains, 10 organisations, 2 of them large.
 *
 * <p>Demand is assumed, not measured; it is the same for all policies. Immutable.
 */
enum Deployment {
    /** Short answers, and refusals weigh more. */
    FLIGHTS(BudgetPreference.AVOID_FALSE_REFUSAL, 6.0, 0.3, 1_000),
    /** Long reviews, and stranded tokens weigh more. */
    MOULDS(BudgetPreference.AVOID_STRANDING, 2.0, 0.1, 4_000);

    private final BudgetPreference mPreference;
    private final double mLargePerSecond;
    private final double mSmallPerSecond;
    private final int mReservedTokens;

    Deployment(
            BudgetPreference preference,
            double largePerSecond,
            double smallPerSecond,
            int reservedTokens) {
        mPreference = preference;
        mLargePerSecond = largePerSecond;
        mSmallPerSecond = smallPerSecond;
        mReservedTokens = reservedTokens;
    }

    BudgetPreference preference() {
        return mPreference;
    }

    /** Returns an organisation's requests per second; the first two are large. */
    double requestsPerSecond(int organisation) {
        return organisation < 2 ? mLargePerSecond : mSmallPerSecond;
    }

    /** Returns what each request reserves; it uses from 10 to 70 % of it. */
    int reservedTokens() {
        return mReservedTokens;
    }
}
