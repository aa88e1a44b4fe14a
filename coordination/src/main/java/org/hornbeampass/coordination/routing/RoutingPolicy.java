package org.hornbeampass.coordination.routing;

import org.hornbeampass.coordination.upstream.UpstreamState;

import java.util.SplittableRandom;

/**
 * The policies that choose among the candidates of an attempt.
 *
 * <p>Each is a function of the candidates, the time and a random source only. Stateless; the caller
 * holds {@code UpstreamTable#lock()}.
 */
public enum RoutingPolicy {
    /** Any candidate, with equal probability. */
    RANDOM {
        @Override
        int pick(long nowMs, Candidates candidates, SplittableRandom random) {
            return random.nextInt(candidates.size());
        }
    },
    /**
     * The candidate with the least load in its last report, regardless of the report's age; ties
     * are broken by a random starting point.
     */
    LEAST_REPORTED {
        @Override
        int pick(long nowMs, Candidates candidates, SplittableRandom random) {
            int best = random.nextInt(candidates.size());
            int first = best;
            for (int step = 1; step < candidates.size(); step++) {
                int i = (first + step) % candidates.size();
                if (reported(candidates, i) < reported(candidates, best)) {
                    best = i;
                }
            }
            return best;
        }
    },
    /**
     * Of two random candidates, the one with the lower load, which is the greater of its reported
     * load and this VM's requests in progress there.
     */
    TWO_CHOICES {
        @Override
        int pick(long nowMs, Candidates candidates, SplittableRandom random) {
            int size = candidates.size();
            int one = random.nextInt(size);
            if (size == 1) {
                return one;
            }
            int other = (one + 1 + random.nextInt(size - 1)) % size;
            return known(candidates, other) < known(candidates, one) ? other : one;
        }
    },
    /** The candidate with the lowest predicted time to first token; see {@link PredictedWait}. */
    PREDICTED_WAIT {
        @Override
        int pick(long nowMs, Candidates candidates, SplittableRandom random) {
            return PredictedWait.pick(nowMs, candidates, random);
        }
    };

    /** Returns the index of the chosen candidate; there must be at least one candidate. */
    abstract int pick(long nowMs, Candidates candidates, SplittableRandom random);

    private static int reported(Candidates candidates, int index) {
        return candidates.state(index).load().reported();
    }

    private static int known(Candidates candidates, int index) {
        UpstreamState state = candidates.state(index);
        return Math.max(state.load().reported(), state.load().inFlight());
    }
}
