package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.load.Latencies;
import org.hornbeampass.experiment.verdict.Observation;

import java.util.List;
import java.util.Map;

/**
 * What came of an experiment, before it is judged.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param experiment the experiment
 * @param startMs when its load began, in milliseconds since 1970
 * @param unanswered how many requests had not ended when the patience was over
 * @param seen what was seen from outside
 * @param latencies the latencies by name
 * @param events what was done to the fleet
 */
public record Outcome(
        Experiment experiment,
        long startMs,
        long unanswered,
        Observation seen,
        Map<String, Latencies.Summary> latencies,
        List<Event> events) {
    /** Copies the collections. */
    public Outcome {
        latencies = java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(latencies));
        events = List.copyOf(events);
    }

    /**
     * One action on the fleet.
     *
     * @param atMs when, in milliseconds since 1970
     * @param what what was done, or how it failed
     */
    public record Event(long atMs, String what) {}
}
