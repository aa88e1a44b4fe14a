package org.hornbeampass.coordination.routing;

import org.hornbeampass.coordination.upstream.UpstreamState;

import java.util.SplittableRandom;

/**
 * The ways to choose among the upstreams that an attempt may go to.
 *
 * <p>Each is a pure function of the candidates, the time and a random source. Stateless; runs under
 * the table's lock.
 */
public enum RoutingPolicy {
    /** Any of them, with equal chances. */
    RANDOM {
        @Override
        int pick(long nowMs, Candidates candidates, SplittableRandom random) {
            return random.nextInt(candidates.size());
        }
    },
    /** The one with the least load by its last report, however old; chance breaks ties. */
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
    /** Of two taken by chance, the one with fewer reported and own requests. */
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
    /** The one whose first token is predicted to come first; see {@link PredictedWait}. */
    PREDICTED_WAIT {
        @Override
        int pick(long nowMs, Candidates candidates, SplittableRandom random) {
            return PredictedWait.pick(nowMs, candidates, random);
        }
    };

    /** Returns the index of the chosen candidate; there is at least one. */
    abstract int pick(long nowMs, Candidates candidates, SplittableRandom random);

    private static int reported(Candidates candidates, int index) {
        return candidates.state(index).load().reported();
    }

    private static int known(Candidates candidates, int index) {
        UpstreamState state = candidates.state(index);
        return Math.max(state.load().reported(), state.load().inFlight());
    }
}
