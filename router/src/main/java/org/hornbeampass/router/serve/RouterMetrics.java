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
 * The metrics of the requests that a VM serves.
 *
 * <p>Names are parts joined by dots; the last parts are the label's values, such as {@code
 * requests.ended.CHAT.iblei.ok}. Times are in milliseconds. Thread-safe.
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

    /** What requests are counted by. */
    private record EndKey(WorkKind kind, OrganisationId organisation, Optional<ErrorKind> error) {}

    /** Makes the metrics in a registry. */
    public RouterMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mFirstPart = histogram("requests.first_part_ms");
        mBetweenParts = histogram("requests.between_parts_ms");
        mBillWait = histogram("bills.wait_ms");
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(name, () -> new Histogram(new UniformReservoir(RESERVOIR_SIZE)));
    }

    /** Sets who is told of each request that ended, for service-level objectives. */
    public void setSampleListener(ObjLongConsumer<SloSample> listener) {
        mSampleListener = listener;
    }

    /** Tells of a request that ended. */
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

    /** Counts a request that was refused before its caller or its shape was known to be good. */
    public void countRefused(ErrorKind kind) {
        mRefused.computeIfAbsent(kind, k -> mRegistry.counter("requests.refused." + k.code()))
                .inc();
    }

    /** Counts tokens billed. */
    void addBilledTokens(OrganisationId organisation, long tokens) {
        mTokens.computeIfAbsent(organisation, o -> mRegistry.counter("tokens.billed." + o))
                .inc(tokens);
    }

    /** Counts a bill by what came of it. */
    void countBill(String result, long waitMs) {
        mBills.computeIfAbsent(result, r -> mRegistry.counter("bills." + r)).inc();
        mBillWait.update(waitMs);
    }

    /** Notes the time from a request's arrival to its first part. */
    void recordFirstPart(long ms) {
        mFirstPart.update(ms);
    }

    /** Notes the time between two parts of an answer. */
    void recordPartGap(long ms) {
        mBetweenParts.update(ms);
    }
}
