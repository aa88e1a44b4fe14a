package org.hornbeampass.experiment.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The bytes that a set of VMs sends and receives between its making and {@link #close}, in all and
 * by kind of message.
 *
 * <p>Not thread-safe: one thread runs an experiment.
 */
final class TrafficWindow {
    private final List<SimulatedRouter> mRouters;
    private final List<Map<String, Long>> mBefore;
    private final Map<String, Double> mMeanByKind = new TreeMap<>();
    private Map<String, Double> mWorstByKind = Map.of();
    private double mMean;
    private double mWorst;

    TrafficWindow(List<SimulatedRouter> routers) {
        mRouters = routers;
        mBefore = routers.stream().map(r -> r.mNode.bytesByKind()).toList();
    }

    /** Ends the count; the figures are per second of the duration given. */
    void close(long durationMs) {
        for (int i = 0; i < mRouters.size(); i++) {
            Map<String, Double> rates = new TreeMap<>();
            Map<String, Long> before = mBefore.get(i);
            mRouters.get(i)
                    .mNode
                    .bytesByKind()
                    .forEach(
                            (kind, bytes) ->
                                    rates.put(
                                            kind,
                                            (bytes - before.getOrDefault(kind, 0L))
                                                    * 1e3
                                                    / durationMs));
            add(rates);
        }
    }

    private void add(Map<String, Double> rates) {
        double sum = rates.values().stream().mapToDouble(Double::doubleValue).sum();
        rates.forEach((kind, rate) -> mMeanByKind.merge(kind, rate / mRouters.size(), Double::sum));
        mMean += sum / mRouters.size();
        if (sum > mWorst) {
            mWorst = sum;
            mWorstByKind = rates;
        }
    }

    /** Returns the bytes per second of the mean VM, sent and received. */
    double mean() {
        return mMean;
    }

    /** Returns the bytes per second of the VM that sent and received most. */
    double worst() {
        return mWorst;
    }

    String meanByKind() {
        return text(mMeanByKind);
    }

    String worstByKind() {
        return text(mWorstByKind);
    }

    private static String text(Map<String, Double> rates) {
        StringBuilder text = new StringBuilder();
        rates.forEach(
                (kind, rate) -> {
                    if (rate >= 1) {
                        text.append(text.length() == 0 ? "" : ", ")
                                .append(kind)
                                .append(' ')
                                .append(Math.round(rate));
                    }
                });
        return text.toString();
    }
}
