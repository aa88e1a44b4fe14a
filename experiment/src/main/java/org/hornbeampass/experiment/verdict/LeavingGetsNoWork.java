package org.hornbeampass.experiment.verdict;

import java.util.List;

/**
 * A leaving upstream is sent no new work once a few seconds have passed.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class LeavingGetsNoWork implements VerdictRule {
    /** How long a leaving upstream may still be sent work, in milliseconds. */
    public static final long GRACE_MS = 3_000;

    @Override
    public List<Finding> check(Observation seen) {
        return seen.upstreams().leavings().stream()
                .filter(leaving -> leaving.offers() > 0)
                .map(
                        leaving ->
                                finding(
                                        leaving.upstream(),
                                        leaving.offers()
                                                + " attempts were sent to it more than "
                                                + GRACE_MS
                                                + " ms after it began to leave"))
                .toList();
    }
}
