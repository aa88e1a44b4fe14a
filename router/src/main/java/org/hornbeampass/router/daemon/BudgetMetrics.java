package org.hornbeampass.router.daemon;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.escrow.EscrowBook;

/**
 * Publishes the tokens that this VM holds of each budget as metrics.
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

    /**
     * Updates the gauges. Called when the metrics are read, since the amounts change far more often
     * than they are read.
     */
    void refresh() {
        mBudgets.holdings()
                .forEach(
                        (organisation, holding) -> {
                            setGauge("granted", organisation, holding.granted());
                            setGauge("free", organisation, holding.free());
                            setGauge("spent", organisation, holding.spent());
                        });
    }

    private void setGauge(String part, String organisation, long tokens) {
        String name = "budget_" + part + "_tokens{organisation=\"" + organisation + "\"}";
        DefaultSettableGauge<Long> gauge =
                mMetrics.gauge(name, () -> new DefaultSettableGauge<>(0L));
        gauge.setValue(tokens);
    }
}
