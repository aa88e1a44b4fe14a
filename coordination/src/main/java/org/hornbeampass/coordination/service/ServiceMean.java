package org.hornbeampass.coordination.service;

import java.util.List;

/**
 * The mean of what the upstreams of one service can do.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param tokensPerMs prompt tokens read per millisecond; 0 where it is unknown
 * @param durationMs the time of a request in milliseconds; 0 where it is unknown
 */
record ServiceMean(double tokensPerMs, double durationMs) {
    /** Nothing is known of the service. */
    static final ServiceMean UNKNOWN = new ServiceMean(0, 0);

    /** Returns the mean of the models that are learnt. */
    static ServiceMean of(List<UpstreamModel> models) {
        List<UpstreamModel> learnt = models.stream().filter(UpstreamModel::isLearnt).toList();
        return new ServiceMean(
                learnt.stream().mapToDouble(UpstreamModel::tokensPerMs).average().orElse(0),
                learnt.stream()
                        .mapToDouble(UpstreamModel::durationMs)
                        .filter(ms -> ms > 0)
                        .average()
                        .orElse(0));
    }
}
