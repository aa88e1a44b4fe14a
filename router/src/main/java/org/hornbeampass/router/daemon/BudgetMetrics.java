package org.hornbeampass.router.daemon;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.escrow.EscrowBook;

/**
 * Puts what this VM holds of each budget into its registry.
 *
 * <p>Confined to one event loop.
 */
final class BudgetMetrics {
    private final MetricRegistry mMetrics;
    private final EscrowBook mBudgets;

    BudgetMetrics(MetricRegistry metrics, EscrowBook budgets) {
        mMetrics = metrics;
        mBudgets = budgets;
    }

    /** Takes the figures of this moment; they are read now and then, and change often. */
    void refresh() {
        mBudgets.holdings()
                .forEach(
                        (organisation, holding) -> {
                            set("granted", organisation, holding.granted());
                            set("free", organisation, holding.free());
                            set("spent", organisation, holding.spent());
                        });
    }

    private void set(String part, String organisation, long tokens) {
        String name = "budget_" + part + "_tokens{organisation=\"" + organisation + "\"}";
        DefaultSettableGauge<Long> gauge =
                mMetrics.gauge(name, () -> new DefaultSettableGauge<>(0L));
        gauge.setValue(tokens);
    }
}
