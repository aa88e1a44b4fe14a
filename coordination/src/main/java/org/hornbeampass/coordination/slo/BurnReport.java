package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.OrganisationId;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests that one or several routers counted against objectives.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param sinceMs when counting began, in milliseconds since 1970; the latest time if the report
 *     covers several routers
 * @param scopes counts by scope and objective
 * @param causes the causes of the bad requests of the last hour, the most frequent first
 * @param points the counts of all organisations together, by time bucket
 */
public record BurnReport(
        long sinceMs, List<ScopeBurn> scopes, List<CauseCount> causes, List<BurnPoint> points) {
    /** Copies the lists. */
    public BurnReport {
        scopes = List.copyOf(scopes);
        causes = List.copyOf(causes);
        points = List.copyOf(points);
    }

    /** The scope and objective to which counts belong. */
    private record ScopeKey(Optional<OrganisationId> organisation, Objective objective) {}

    /** The time bucket and objective to which counts belong. */
    private record PointKey(long startMs, long widthMs, Objective objective) {}

    /** Returns the sum of the reports of several routers. */
    public static BurnReport merged(List<BurnReport> reports) {
        Map<ScopeKey, ScopeBurn> scopes = new LinkedHashMap<>();
        Map<BurnCause, Long> causes = new HashMap<>();
        Map<PointKey, Counts> points = new HashMap<>();
        long sinceMs = 0;
        for (BurnReport report : reports) {
            sinceMs = Math.max(sinceMs, report.sinceMs());
            for (ScopeBurn s : report.scopes()) {
                scopes.merge(new ScopeKey(s.organisation(), s.objective()), s, ScopeBurn::plus);
            }
            report.causes().forEach(c -> causes.merge(c.cause(), c.count(), Long::sum));
            for (BurnPoint p : report.points()) {
                PointKey key = new PointKey(p.startMs(), p.widthMs(), p.objective());
                points.merge(key, p.counts(), Counts::plus);
            }
        }
        return new BurnReport(
                sinceMs, sortedScopes(scopes), sortedCauses(causes), sortedPoints(points));
    }

    private static List<ScopeBurn> sortedScopes(Map<ScopeKey, ScopeBurn> scopes) {
        List<ScopeBurn> list = new ArrayList<>(scopes.values());
        list.sort(
                Comparator.comparing((ScopeBurn s) -> s.organisation().isPresent())
                        .thenComparing(s -> s.organisation().map(OrganisationId::value).orElse(""))
                        .thenComparing(ScopeBurn::objective));
        return list;
    }

    private static List<CauseCount> sortedCauses(Map<BurnCause, Long> causes) {
        return causes.entrySet().stream()
                .map(e -> new CauseCount(e.getKey(), e.getValue()))
                .sorted(
                        Comparator.comparingLong(CauseCount::count)
                                .reversed()
                                .thenComparing(c -> c.cause().toString()))
                .toList();
    }

    private static List<BurnPoint> sortedPoints(Map<PointKey, Counts> points) {
        return points.entrySet().stream()
                .map(
                        e ->
                                new BurnPoint(
                                        e.getKey().startMs(),
                                        e.getKey().widthMs(),
                                        e.getKey().objective(),
                                        e.getValue()))
                .sorted(
                        Comparator.comparingLong(BurnPoint::widthMs)
                                .thenComparing(BurnPoint::objective)
                                .thenComparingLong(BurnPoint::startMs))
                .toList();
    }
}
