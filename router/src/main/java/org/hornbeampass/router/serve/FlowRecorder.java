package org.hornbeampass.router.serve;

import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.slo.SloSample;
import org.hornbeampass.router.flow.BillAmount;
import org.hornbeampass.router.flow.BillResult;
import org.hornbeampass.router.flow.Charge;
import org.hornbeampass.router.flow.FlowObserver;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.RunState;
import org.hornbeampass.state.UpstreamId;
import org.hornbeampass.state.config.WorkKind;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Records one request's milestones in the metrics and the log.
 *
 * <p>Not thread-safe: confined to the request's flow.
 */
final class FlowRecorder implements FlowObserver {
    private static final Logger LOG = LogManager.getLogger(FlowRecorder.class);

    private final RouterMetrics mMetrics;
    private final WorkKind mKind;
    private final OrganisationId mOrganisation;
    private final RequestId mId;
    private final long mArrivedMs;
    private final Supplier<Optional<UpstreamId>> mUpstream;
    private final Runnable mOnEnd;
    private long mFirstPartMs;
    private long mLastPartMs;
    private long mParts;

    /**
     * Creates the recorder of one request.
     *
     * @param arrivedMs the time at which the request arrived, in milliseconds
     * @param upstream returns the upstream of the request's most recent attempt
     * @param onEnd run once when the request has ended
     */
    FlowRecorder(
            RouterMetrics metrics,
            WorkKind kind,
            OrganisationId organisation,
            RequestId id,
            long arrivedMs,
            Supplier<Optional<UpstreamId>> upstream,
            Runnable onEnd) {
        mMetrics = metrics;
        mKind = kind;
        mOrganisation = organisation;
        mId = id;
        mArrivedMs = arrivedMs;
        mUpstream = upstream;
        mOnEnd = onEnd;
    }

    @Override
    public void onFirstPart(long nowMs) {
        mFirstPartMs = nowMs;
        mLastPartMs = nowMs;
        mParts = 1;
        mMetrics.recordFirstPart(nowMs - mArrivedMs);
    }

    @Override
    public void onPart(long nowMs) {
        mMetrics.recordPartGap(nowMs - mLastPartMs);
        mLastPartMs = nowMs;
        mParts++;
    }

    @Override
    public void onInternalFault(RuntimeException fault) {
        CloseableThreadContext.Instance context = logContext();
        try {
            LOG.error("an event of the request failed with an internal error", fault);
        } finally {
            context.close();
        }
    }

    @Override
    public void onEnd(
            long nowMs, Optional<ErrorKind> error, BillAmount bill, Optional<Charge> charge) {
        mMetrics.countEnded(mKind, mOrganisation, error);
        mMetrics.reportSample(nowMs, sloSample(error));
        charge.ifPresent(this::countCharge);
        logEnd(nowMs, error, bill);
        mOnEnd.run();
    }

    private void countCharge(Charge charge) {
        mMetrics.countBill(charge.result().name().toLowerCase(Locale.ROOT), 0);
        if (charge.result() != BillResult.DUPLICATE) {
            mMetrics.addBilledTokens(mOrganisation, charge.tokens());
        }
    }

    /**
     * Logs the end of the request, at debug level if it succeeded or did not run; the metrics count
     * every request.
     */
    private void logEnd(long nowMs, Optional<ErrorKind> error, BillAmount bill) {
        Level level =
                error.filter(k -> k.runState() != RunState.NOT_RUN).isPresent()
                        ? Level.INFO
                        : Level.DEBUG;
        if (!LOG.isEnabled(level)) {
            return;
        }
        CloseableThreadContext.Instance context = logContext();
        try {
            LOG.log(
                    level,
                    "{} ended with {} after {} ms, billed {} prompt and {} completion tokens",
                    mKind,
                    error.map(ErrorKind::code).orElse("a complete answer"),
                    nowMs - mArrivedMs,
                    bill.promptTokens(),
                    bill.completionTokens());
        } finally {
            context.close();
        }
    }

    private CloseableThreadContext.Instance logContext() {
        return CloseableThreadContext.put("request_id", mId.value())
                .put("organisation", mOrganisation.value());
    }

    private SloSample sloSample(Optional<ErrorKind> error) {
        return new SloSample(
                mOrganisation,
                mParts > 0 ? OptionalLong.of(mFirstPartMs - mArrivedMs) : OptionalLong.empty(),
                mParts > 1
                        ? OptionalLong.of((mLastPartMs - mFirstPartMs) / (mParts - 1))
                        : OptionalLong.empty(),
                error,
                mUpstream.get(),
                Optional.empty());
    }
}
