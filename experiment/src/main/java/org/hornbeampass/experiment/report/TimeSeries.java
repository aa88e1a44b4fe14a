package org.hornbeampass.experiment.report;

import org.hornbeampass.experiment.run.Outcome;
import org.hornbeampass.experiment.verdict.SeenRequest;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * What callers saw in each second of an experiment, by when requests ended.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param seconds the seconds from the start
 * @param served requests answered whole
 * @param refused requests refused or cut
 * @param firstTokenP99Ms the 99th percentile of the time to the first token; 0 without answers
 */
record TimeSeries(
        List<Double> seconds,
        List<Double> served,
        List<Double> refused,
        List<Double> firstTokenP99Ms) {
    private static final double MS_PER_SECOND = 1_000;

    static TimeSeries of(Outcome outcome) {
        int length = 1;
        for (SeenRequest request : outcome.seen().requests()) {
            length = Math.max(length, second(outcome, request) + 1);
        }
        List<List<Double>> first = new ArrayList<>();
        double[] served = new double[length];
        double[] refused = new double[length];
        for (int i = 0; i < length; i++) {
            first.add(new ArrayList<>());
        }
        for (SeenRequest request : outcome.seen().requests()) {
            int second = second(outcome, request);
            if (!request.served()) {
                refused[second]++;
                continue;
            }
            served[second]++;
            if (request.last().receipt().firstTokenMs() >= 0) {
                first.get(second).add(request.last().receipt().firstTokenMs());
            }
        }
        List<Double> seconds = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            seconds.add((double) i);
        }
        return new TimeSeries(
                seconds, list(served), list(refused), first.stream().map(TimeSeries::p99).toList());
    }

    private static int second(Outcome outcome, SeenRequest request) {
        double ms = request.last().endedAtMs() - outcome.startMs();
        return (int) Math.max(0, ms / MS_PER_SECOND);
    }

    private static List<Double> list(double[] values) {
        return java.util.Arrays.stream(values).boxed().toList();
    }

    private static double p99(List<Double> values) {
        if (values.isEmpty()) {
            return 0;
        }
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(sorted.size() * 0.99)));
    }
}
