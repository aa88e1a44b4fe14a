package org.hornbeampass.coordination.routing;

import org.hornbeampass.coordination.upstream.LoadEstimate;
import org.hornbeampass.coordination.upstream.Rendezvous;
import org.hornbeampass.coordination.upstream.UpstreamState;
import org.hornbeampass.state.upstream.PrefixDigests;

import java.util.SplittableRandom;

/**
 * Predicts the time to first token at each candidate and chooses among those with the lowest.
 *
 * <p>The prediction is the round-trip time plus the product of the upstream's smoothed time per
 * request in progress and its estimated load, reduced by the saving of a cached prefix. The load
 * consists of this VM's own requests, which count at once, and the load of others in the last
 * report; as the report ages, the latter approaches the mean of the candidates. Among candidates
 * with nearly equal predictions the choice is random, so that VMs with the same information don't
 * all choose the same upstream. Stateless; the caller holds {@code UpstreamTable#lock()}.
 */
final class PredictedWait {
    private static final double DEFAULT_MS_PER_REQUEST = 10;
    private static final double CACHED_SAVING = 0.6;
    private static final double PREFERRED_SAVING = 0.15;
    private static final int AFFINITY_BLOCKS = 4;
    private static final double CLOSE_RATIO = 1.1;
    private static final double ERROR_PENALTY = 8;

    private PredictedWait() {}

    static int pick(long nowMs, Candidates candidates, SplittableRandom random) {
        double meanOthers = meanOthersLoad(candidates);
        double groupUnitMs = meanMsPerRequest(candidates);
        double fullWeight = maxSlowStartWeight(nowMs, candidates);
        int home = preferred(candidates);
        double best = Double.MAX_VALUE;
        int chosen = 0;
        int close = 0;
        for (int i = 0; i < candidates.size(); i++) {
            double saving = cacheSaving(candidates, i, i == home);
            UpstreamState state = candidates.state(i);
            double weight = state.slowStartWeight(nowMs) / fullWeight;
            double ms =
                    predictMs(nowMs, state, meanOthers, groupUnitMs) * (1 - saving) / weight
                            + state.distance().roundTripMs();
            if (ms * CLOSE_RATIO < best) {
                best = ms;
                chosen = i;
                close = 1;
            } else if (ms <= best * CLOSE_RATIO) {
                close++;
                best = Math.min(best, ms);
                chosen = random.nextInt(close) == 0 ? i : chosen;
            }
        }
        return chosen;
    }

    /** Returns the estimated load of an upstream, in requests. */
    static double estimateLoad(long nowMs, LoadEstimate load, double meanOthers) {
        double weight = load.reportWeight(nowMs);
        return load.inFlight() + weight * load.othersLoad() + (1 - weight) * meanOthers;
    }

    /** Returns the mean load of others over the candidates with a report; 0 without any report. */
    static double meanOthersLoad(Candidates candidates) {
        double sum = 0;
        int known = 0;
        for (int i = 0; i < candidates.size(); i++) {
            LoadEstimate load = candidates.state(i).load();
            if (load.hasReport()) {
                sum += load.othersLoad();
                known++;
            }
        }
        return known == 0 ? 0 : sum / known;
    }

    private static double predictMs(
            long nowMs, UpstreamState state, double meanOthers, double groupUnitMs) {
        LoadEstimate load = state.load();
        double unitMs = load.msPerRequest() == 0 ? groupUnitMs : load.msPerRequest();
        double waitMs = unitMs * (estimateLoad(nowMs, load, meanOthers) + 1);
        double penalty = 1 + ERROR_PENALTY * state.health().errorShare();
        return Math.max(waitMs, (double) load.silentMs(nowMs)) * penalty;
    }

    /**
     * Returns the greatest slow-start weight of the candidates; weights are relative to it, so that
     * no upstream is held back if all are new.
     */
    private static double maxSlowStartWeight(long nowMs, Candidates candidates) {
        double most = 0;
        for (int i = 0; i < candidates.size(); i++) {
            most = Math.max(most, candidates.state(i).slowStartWeight(nowMs));
        }
        return most;
    }

    private static double meanMsPerRequest(Candidates candidates) {
        double sum = 0;
        int known = 0;
        for (int i = 0; i < candidates.size(); i++) {
            double unitMs = candidates.state(i).load().msPerRequest();
            sum += unitMs;
            known += unitMs > 0 ? 1 : 0;
        }
        return known == 0 ? DEFAULT_MS_PER_REQUEST : sum / known;
    }

    private static double cacheSaving(Candidates candidates, int index, boolean preferred) {
        PrefixDigests prefix = candidates.prefix();
        if (prefix.size() == 0) {
            return 0;
        }
        int matching = candidates.state(index).matchingBlocks(prefix);
        double share = (double) matching / prefix.size();
        return CACHED_SAVING * share + (preferred ? PREFERRED_SAVING * (1 - share) : 0);
    }

    /**
     * Returns the digest that determines a prompt's preferred upstream; the prompt must have at
     * least one block.
     */
    static long affinityKey(PrefixDigests prefix) {
        return prefix.at(Math.min(AFFINITY_BLOCKS, prefix.size()) - 1);
    }

    /**
     * Returns the index of the candidate to which all VMs prefer to send a prompt that no upstream
     * is known to have cached; -1 for an empty prompt.
     */
    private static int preferred(Candidates candidates) {
        PrefixDigests prefix = candidates.prefix();
        if (prefix.size() == 0) {
            return -1;
        }
        long head = affinityKey(prefix);
        int home = 0;
        long best = Long.MIN_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            long score = Rendezvous.score(head, candidates.hash(i));
            if (score > best) {
                best = score;
                home = i;
            }
        }
        return home;
    }
}
