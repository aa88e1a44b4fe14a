package org.hornbeampass.experiment.budget;

import org.hornbeampass.coordination.budget.GrantPolicy;

import java.util.Locale;

/**
 * The figures of one run.
 *
 * @param requests requests sent to a VM that was up
 * @param refused of these, refused for their budget
 * @param falseRefused of these, refused while enough was free somewhere
 * @param falseWithShareLeft of these, refused while at least 5 % of the budget was unspent
 * @param overspent tokens spent beyond what was paid, over all budgets
 * @param writtenOff tokens written off at the end
 * @param paid tokens paid at the end
 * @param largestLossShare the largest share of one budget that a death stranded
 * @param writesPerSecond platform writes
 * @param readsPerSecond platform reads
 */
record BudgetRunResult(
        Deployment deployment,
        Fault fault,
        GrantPolicy policy,
        long requests,
        long refused,
        long falseRefused,
        long falseWithShareLeft,
        long overspent,
        long writtenOff,
        long paid,
        double largestLossShare,
        double writesPerSecond,
        double readsPerSecond) {
    static final String HEADER =
            "deployment,fault,policy,requests,refused,false_refused_pct,"
                + "false_refused_with_5pct_left_pct,overspent_tokens,written_off_tokens,"
                + "written_off_pct_of_paid,largest_loss_of_one_death_pct,writes_per_s,reads_per_s";

    String csv() {
        return String.format(
                Locale.ROOT,
                "%s,%s,%s,%d,%d,%.3f,%.3f,%d,%d,%.2f,%.2f,%.2f,%.2f",
                deployment,
                fault,
                policy,
                requests,
                refused,
                100.0 * falseRefused / requests,
                100.0 * falseWithShareLeft / requests,
                overspent,
                writtenOff,
                100.0 * writtenOff / paid,
                100.0 * largestLossShare,
                writesPerSecond,
                readsPerSecond);
    }
}
