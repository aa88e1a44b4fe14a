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
 * What one router, or several together, counted against objectives.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param sinceMs when counting began, the latest of several routers, in milliseconds
 * @param scopes counts by scope and objective
 * @param causes what the bad requests of the last hour are put down to, the most frequent first
 * @param points the buckets of all together
 */
public record BurnReport(
        long sinceMs, List<ScopeBurn> scopes, List<CauseCount> causes, List<BurnPoint> points) {
    /** Copies the lists. */
    public BurnReport {
        scopes = List.copyOf(scopes);
        causes = List.copyOf(causes);
        points = List.copyOf(points);
    }

    /** The scope and objective that counts belong to. */
    private record ScopeKey(Optional<OrganisationId> organisation, Objective objective) {}

    /** The bucket that counts belong to. */
    private record PointKey(long startMs, long widthMs, Objective objective) {}

    /** Returns the reports of several routers together. */
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
        return new BurnReport(sinceMs, sorted(scopes), ranked(causes), ordered(points));
    }

    private static List<ScopeBurn> sorted(Map<ScopeKey, ScopeBurn> scopes) {
        List<ScopeBurn> list = new ArrayList<>(scopes.values());
        list.sort(
                Comparator.comparing((ScopeBurn s) -> s.organisation().isPresent())
                        .thenComparing(s -> s.organisation().map(OrganisationId::value).orElse(""))
                        .thenComparing(ScopeBurn::objective));
        return list;
    }

    private static List<CauseCount> ranked(Map<BurnCause, Long> causes) {
        return causes.entrySet().stream()
                .map(e -> new CauseCount(e.getKey(), e.getValue()))
                .sorted(
                        Comparator.comparingLong(CauseCount::count)
                                .reversed()
                                .thenComparing(c -> c.cause().toString()))
                .toList();
    }

    private static List<BurnPoint> ordered(Map<PointKey, Counts> points) {
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
