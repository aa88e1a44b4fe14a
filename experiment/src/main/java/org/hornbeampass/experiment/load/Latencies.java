package org.hornbeampass.experiment.load;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.hornbeampass.experiment.caller.ChatReceipt;
import org.hornbeampass.experiment.verdict.RequestKind;

import java.util.Map;
import java.util.TreeMap;

/**
 * The latencies of answered requests, counted from when each should have been sent.
 *
 * <p>The load is open: a late answer delays no later request, and a request that is sent late
 * counts from its due time; so nothing is left out while the system stalls. Thread-safe.
 */
public final class Latencies {
    private static final long MAX_MICROS = 600_000_000;
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MS = 1_000;

    private final Histogram mFirstToken = histogram();
    private final Histogram mBetweenTokens = histogram();
    private final Histogram mChat = histogram();
    private final Histogram mServiceOnce = histogram();
    private final Histogram mServiceRepeatable = histogram();

    private static Histogram histogram() {
        return new ConcurrentHistogram(MAX_MICROS, DIGITS);
    }

    /** Adds an answered request. */
    public void add(RequestKind kind, ChatReceipt last) {
        switch (kind) {
            case SERVICE_ONCE -> record(mServiceOnce, last.totalMs());
            case SERVICE_REPEATABLE -> record(mServiceRepeatable, last.totalMs());
            default -> {
                record(mChat, last.totalMs());
                record(mFirstToken, last.firstTokenMs());
            }
        }
    }

    /** Adds the time between two tokens of an answer. */
    public void addGap(double ms) {
        record(mBetweenTokens, ms);
    }

    private static void record(Histogram histogram, double ms) {
        histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, Math.round(ms * MICROS_PER_MS))));
    }

    /**
     * One distribution in milliseconds.
     *
     * @param count how many values
     * @param p50 the median
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     * @param max the largest
     */
    public record Summary(long count, double p50, double p95, double p99, double max) {
        private static Summary of(Histogram h) {
            return new Summary(
                    h.getTotalCount(), at(h, 50), at(h, 95), at(h, 99), h.getMaxValue() / 1_000.0);
        }

        private static double at(Histogram h, double percentile) {
            return h.getValueAtPercentile(percentile) / MICROS_PER_MS;
        }
    }

    /** Returns the distributions by name. */
    public Map<String, Summary> summaries() {
        Map<String, Summary> all = new TreeMap<>();
        all.put("first_token", Summary.of(mFirstToken));
        all.put("between_tokens", Summary.of(mBetweenTokens));
        all.put("chat_total", Summary.of(mChat));
        all.put("service_once_total", Summary.of(mServiceOnce));
        all.put("service_repeatable_total", Summary.of(mServiceRepeatable));
        return all;
    }
}
