package org.hornbeampass.cli.command;

import org.hornbeampass.cli.output.TextTable;
import org.hornbeampass.coordination.slo.BurnAlert;
import org.hornbeampass.coordination.slo.BurnCause;
import org.hornbeampass.coordination.slo.BurnRates;
import org.hornbeampass.coordination.slo.BurnReport;
import org.hornbeampass.coordination.slo.BurnWindow;
import org.hornbeampass.coordination.slo.CauseCount;
import org.hornbeampass.coordination.slo.Objective;
import org.hornbeampass.coordination.slo.ScopeBurn;
import org.hornbeampass.state.FailureDomain;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.UpstreamId;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * The burn report as it is printed: rates, what is left, alerts and causes.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param routers the routers that were asked
 * @param sinceMs since when all of them have counted, in milliseconds since 1970
 * @param rows one row for each scope and objective
 * @param causes what burned in the last hour, the most frequent first
 */
record BurnSummary(List<String> routers, long sinceMs, List<Row> rows, List<CauseCount> causes) {
    private static final int MAX_CAUSES = 10;
    private static final double PERCENT = 100;
    private static final double ROUNDING = 10_000;

    /**
     * One scope and objective.
     *
     * @param scope the organisation, or {@code all}
     * @param objective the objective
     * @param thresholdMs the time that is promised, in milliseconds; 0 where there is none
     * @param target the share that must be good
     * @param rates the burn rate of each window
     * @param remaining the share of the error budget of three days that is left
     * @param badLeft how many more requests of these three days may be bad
     * @param alert the most urgent alert that is on
     */
    record Row(
            String scope,
            Objective objective,
            long thresholdMs,
            double target,
            Map<BurnWindow, Double> rates,
            double remaining,
            long badLeft,
            Optional<BurnAlert> alert) {}

    static BurnSummary of(List<String> routers, BurnReport report, Optional<String> organisation) {
        List<Row> rows =
                report.scopes().stream()
                        .filter(s -> shown(s, organisation))
                        .map(BurnSummary::row)
                        .toList();
        List<CauseCount> causes =
                report.causes().stream()
                        .filter(c -> shown(c.cause(), organisation))
                        .limit(MAX_CAUSES)
                        .toList();
        return new BurnSummary(routers, report.sinceMs(), rows, causes);
    }

    boolean alerting() {
        return rows.stream().anyMatch(r -> r.alert().isPresent());
    }

    String table() {
        TextTable table =
                new TextTable(
                        "SCOPE",
                        "OBJECTIVE",
                        "TARGET",
                        "5m",
                        "30m",
                        "1h",
                        "6h",
                        "3d",
                        "LEFT",
                        "BAD LEFT",
                        "ALERT");
        for (Row r : rows) {
            table.row(
                    r.scope(),
                    objective(r),
                    percent(r.target()),
                    rate(r, BurnWindow.M5),
                    rate(r, BurnWindow.M30),
                    rate(r, BurnWindow.H1),
                    rate(r, BurnWindow.H6),
                    rate(r, BurnWindow.D3),
                    percent(r.remaining()),
                    r.badLeft(),
                    alert(r));
        }
        return table.text() + (causes.isEmpty() ? "" : "\n" + causeTable());
    }

    private String causeTable() {
        TextTable table =
                new TextTable(
                        "BURNED IN 1h", "OBJECTIVE", "ORGANISATION", "ERROR", "UPSTREAM", "DOMAIN");
        for (CauseCount each : causes) {
            BurnCause c = each.cause();
            table.row(
                    each.count(),
                    c.objective().label(),
                    c.organisation().map(OrganisationId::value).orElse("(others)"),
                    error(c),
                    c.upstream().map(UpstreamId::value).orElse("-"),
                    c.domain().map(FailureDomain::value).orElse("-"));
        }
        return table.text();
    }

    static String objective(Row row) {
        return row.objective().hasThreshold()
                ? row.objective().label() + " <= " + row.thresholdMs() + " ms"
                : row.objective().label();
    }

    static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * PERCENT);
    }

    static String rate(Row row, BurnWindow window) {
        return String.format(Locale.ROOT, "%.1f", row.rates().getOrDefault(window, 0.0));
    }

    static String alert(Row row) {
        return row.alert().map(a -> a.name().replace('_', ' ')).orElse("");
    }

    static String error(BurnCause cause) {
        if (cause.error().isPresent()) {
            return cause.error().get().code();
        }
        return cause.objective().hasThreshold() ? "late" : "-";
    }

    private static boolean shown(ScopeBurn scope, Optional<String> organisation) {
        return organisation.isEmpty()
                || scope.organisation()
                        .filter(o -> o.value().equals(organisation.get()))
                        .isPresent();
    }

    private static boolean shown(BurnCause cause, Optional<String> organisation) {
        return organisation.isEmpty()
                || cause.organisation()
                        .filter(o -> o.value().equals(organisation.get()))
                        .isPresent();
    }

    private static double rounded(double value) {
        return Math.round(value * ROUNDING) / ROUNDING;
    }

    private static Row row(ScopeBurn scope) {
        Map<BurnWindow, Double> rates = new EnumMap<>(BurnWindow.class);
        for (BurnWindow window : BurnWindow.values()) {
            rates.put(window, rounded(scope.rate(window)));
        }
        return new Row(
                scope.organisation().map(OrganisationId::value).orElse("all"),
                scope.objective(),
                scope.terms().thresholdMs(),
                scope.terms().target(),
                rates,
                rounded(scope.remaining()),
                BurnRates.remainingBadRequests(scope.counts(BurnWindow.D3), scope.terms().target()),
                scope.alert());
    }
}
