package org.hornbeampass.router.serve;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;

import org.hornbeampass.coordination.slo.SloSample;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.config.WorkKind;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ObjLongConsumer;

/**
 * Metrics of the requests that a VM serves.
 *
 * <p>Metric names consist of parts joined by dots. The last parts are the values of labels, as in
 * {@code requests.ended.CHAT.iblei.ok}. Times are in milliseconds. Thread-safe.
 */
public final class RouterMetrics {
    private static final int RESERVOIR_SIZE = 1_028;

    private final MetricRegistry mRegistry;
    private final Map<EndKey, Counter> mEnded = new ConcurrentHashMap<>();
    private final Map<OrganisationId, Counter> mTokens = new ConcurrentHashMap<>();
    private final Map<ErrorKind, Counter> mRefused = new ConcurrentHashMap<>();
    private final Map<String, Counter> mBills = new ConcurrentHashMap<>();
    private final Histogram mFirstPart;
    private final Histogram mBetweenParts;
    private final Histogram mBillWait;
    private volatile ObjLongConsumer<SloSample> mSampleListener = (sample, nowMs) -> {};

    /** The labels that ended requests are counted by. */
    private record EndKey(WorkKind kind, OrganisationId organisation, Optional<ErrorKind> error) {}

    /** Creates the metrics in a registry. */
    public RouterMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mFirstPart = histogram("requests.first_part_ms");
        mBetweenParts = histogram("requests.between_parts_ms");
        mBillWait = histogram("bills.wait_ms");
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(name, () -> new Histogram(new UniformReservoir(RESERVOIR_SIZE)));
    }

    /**
     * Sets the listener that receives a sample of each ended request, for service-level objectives;
     * replaces the previous listener.
     */
    public void setSampleListener(ObjLongConsumer<SloSample> listener) {
        mSampleListener = listener;
    }

    /** Passes the sample of an ended request to the listener. */
    void reportSample(long nowMs, SloSample sample) {
        mSampleListener.accept(sample, nowMs);
    }

    /** Returns the registry. */
    public MetricRegistry registry() {
        return mRegistry;
    }

    /** Counts a request that ended. */
    void countEnded(WorkKind kind, OrganisationId organisation, Optional<ErrorKind> error) {
        mEnded.computeIfAbsent(
                        new EndKey(kind, organisation, error),
                        k ->
                                mRegistry.counter(
                                        "requests.ended."
                                                + kind
                                                + "."
                                                + organisation
                                                + "."
                                                + error.map(ErrorKind::code).orElse("ok")))
                .inc();
    }

    /**
     * Counts a request that was rejected before its caller was authenticated or its content
     * validated.
     */
    public void countRefused(ErrorKind kind) {
        mRefused.computeIfAbsent(kind, k -> mRegistry.counter("requests.refused." + k.code()))
                .inc();
    }

    /** Adds to the number of tokens billed to an organisation. */
    void addBilledTokens(OrganisationId organisation, long tokens) {
        mTokens.computeIfAbsent(organisation, o -> mRegistry.counter("tokens.billed." + o))
                .inc(tokens);
    }

    /** Counts a bill by its result. */
    void countBill(String result, long waitMs) {
        mBills.computeIfAbsent(result, r -> mRegistry.counter("bills." + r)).inc();
        mBillWait.update(waitMs);
    }

    /** Records the time from a request's arrival to the first part of its answer. */
    void recordFirstPart(long ms) {
        mFirstPart.update(ms);
    }

    /** Records the time between two successive parts of an answer. */
    void recordPartGap(long ms) {
        mBetweenParts.update(ms);
    }
}
