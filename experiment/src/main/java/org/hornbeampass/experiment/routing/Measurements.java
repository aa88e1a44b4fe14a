package org.hornbeampass.experiment.routing;

import org.HdrHistogram.Histogram;
import org.hornbeampass.state.ErrorKind;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Collects what one run measures.
 *
 * <p>Times are in milliseconds. Not thread-safe.
 */
final class Measurements {
    private static final long MAX_MS = 120_000;
    private static final int DIGITS = 3;

    final Histogram mFirstTokenMs = new Histogram(MAX_MS, DIGITS);
    final Histogram mQueuedMs = new Histogram(MAX_MS, DIGITS);
    final Histogram mWaitingJobs = new Histogram(MAX_MS, DIGITS);
    final Map<ErrorKind, Integer> mFailures = new EnumMap<>(ErrorKind.class);
    int mRequests;
    int mServed;
    int mFirstAttempts;
    int mAttempts;
    int mRanTwice;
    private double mImbalanceSum;
    private int mImbalanceSamples;

    void failed(ErrorKind kind) {
        mFailures.merge(kind, 1, Integer::sum);
    }

    /** Samples how unequal the runners' loads are at one time. */
    void sample(List<SimulatedUpstream> runners, long nowMs) {
        double sum = 0;
        double squares = 0;
        for (SimulatedUpstream each : runners) {
            var load = each.engine().load(nowMs);
            double jobs = load.running() + load.waiting();
            sum += jobs;
            squares += jobs * jobs;
            mWaitingJobs.recordValue(load.waiting());
        }
        double mean = sum / runners.size();
        if (mean > 0) {
            double variance = Math.max(0, squares / runners.size() - mean * mean);
            mImbalanceSum += Math.sqrt(variance) / mean;
            mImbalanceSamples++;
        }
    }

    /** Returns the mean over time of the loads' standard deviation by their mean. */
    double imbalance() {
        return mImbalanceSamples == 0 ? 0 : mImbalanceSum / mImbalanceSamples;
    }

    double servedShare() {
        return mRequests == 0 ? 0 : (double) mServed / mRequests;
    }

    /** Returns all attempts sent to upstreams by the requests that had one. */
    double amplification() {
        return mFirstAttempts == 0 ? 0 : (double) mAttempts / mFirstAttempts;
    }

    static double prefixHitShare(List<SimulatedUpstream> runners) {
        long asked = 0;
        long cached = 0;
        for (SimulatedUpstream each : runners) {
            asked += each.engine().blocksAsked();
            cached += each.engine().blocksCached();
        }
        return asked == 0 ? 0 : (double) cached / asked;
    }
}
