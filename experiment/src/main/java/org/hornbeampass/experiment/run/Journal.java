package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.verdict.Observation;
import org.hornbeampass.experiment.verdict.Span;

import java.util.ArrayList;
import java.util.List;

/**
 * What was done to the fleet, and when.
 *
 * <p>Thread-safe: each method holds this object's lock.
 */
final class Journal {
    private final List<Span> mRestarts = new ArrayList<>();
    private final List<Span> mOutOfReach = new ArrayList<>();
    private final List<Observation.Leaving> mLeavings = new ArrayList<>();
    private final List<Outcome.Event> mEvents = new ArrayList<>();

    synchronized void restarted(Span span) {
        mRestarts.add(span);
    }

    synchronized void outOfReach(Span span) {
        mOutOfReach.add(span);
    }

    synchronized void left(Observation.Leaving leaving) {
        mLeavings.add(leaving);
    }

    synchronized void event(long atMs, String what) {
        mEvents.add(new Outcome.Event(atMs, what));
    }

    synchronized List<Span> restarts() {
        return List.copyOf(mRestarts);
    }

    synchronized List<Span> outOfReach() {
        return List.copyOf(mOutOfReach);
    }

    synchronized List<Observation.Leaving> leavings() {
        return List.copyOf(mLeavings);
    }

    synchronized List<Outcome.Event> events() {
        return List.copyOf(mEvents);
    }
}
