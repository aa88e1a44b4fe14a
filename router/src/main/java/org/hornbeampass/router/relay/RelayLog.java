package org.hornbeampass.router.relay;

import com.codahale.metrics.MetricRegistry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.state.service.Route;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Writes and counts the decisions on requests.
 *
 * <p>A line a decision, as fields of one JSON object; the appender drops lines rather than wait,
 * and good answers are logged only up to a rate, so that a flood leaves room for failures. Confined
 * to one event loop, but for its construction.
 */
public final class RelayLog {
    private static final Logger LOG = LogManager.getLogger("decisions");

    /** Lines on good answers in a second; a calm VM stays below, an overloaded one is cut here. */
    private static final int SUCCESS_LINES_PER_S = 20;

    /** Lines on failures, and on decisions within requests, in a second. */
    private static final int FAILURE_LINES_PER_S = 100;

    /**
     * Lines on what this VM believes in a second. They have room of their own: in a flood of
     * failures those lines are what tells its cause.
     */
    private static final int STATE_CHANGE_LINES_PER_S = 100;

    private static final long SECOND_MS = 1_000;

    private final MetricRegistry mMetrics;
    private long mSecond;
    private int mSuccessLines;
    private int mFailureLines;
    private int mStateChangeLines;
    private long mDroppedLines;

    /** Makes a log that counts in a registry. */
    public RelayLog(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    /** Counts and logs the end of a request. */
    void logEnd(
            long nowMs,
            CallerHead head,
            Optional<Route> route,
            String outcome,
            LogFields inputs,
            long tookMs) {
        mMetrics.counter("requests{outcome=\"" + outcome + "\"}").inc();
        route.ifPresent(
                r ->
                        mMetrics.timer("request{route=\"" + r.name() + "\"}")
                                .update(tookMs, TimeUnit.MILLISECONDS));
        LogFields fields =
                new LogFields()
                        .add("route", route.map(Route::name).orElse(""))
                        .add("outcome", outcome)
                        .add("took_ms", tookMs)
                        .addAll(inputs);
        boolean allowed =
                outcome.equals("answered") ? allowSuccessLine(nowMs) : allowFailureLine(nowMs);
        write(nowMs, allowed, "ended", head.id(), fields);
    }

    /** Logs a decision within a request. */
    void logDecision(long nowMs, String id, String decision, LogFields inputs) {
        mMetrics.counter("decisions{kind=\"" + decision + "\"}").inc();
        write(nowMs, allowFailureLine(nowMs), decision, id, inputs);
    }

    /** Logs a change of what this VM believes. */
    public void logStateChange(long nowMs, String decision, LogFields inputs) {
        mMetrics.counter("decisions{kind=\"" + decision + "\"}").inc();
        write(nowMs, allowStateChangeLine(nowMs), decision, "", inputs);
    }

    private void write(long nowMs, boolean allowed, String kind, String id, LogFields inputs) {
        if (!allowed) {
            mDroppedLines++;
            return;
        }
        LogFields fields = new LogFields().add("at_ms", nowMs).add("kind", kind);
        if (!id.isEmpty()) {
            fields.add("request", id);
        }
        LOG.info("{" + fields.addAll(inputs) + "}");
    }

    private boolean allowSuccessLine(long nowMs) {
        beginSecond(nowMs);
        return mSuccessLines++ < SUCCESS_LINES_PER_S;
    }

    private boolean allowFailureLine(long nowMs) {
        beginSecond(nowMs);
        return mFailureLines++ < FAILURE_LINES_PER_S;
    }

    private boolean allowStateChangeLine(long nowMs) {
        beginSecond(nowMs);
        return mStateChangeLines++ < STATE_CHANGE_LINES_PER_S;
    }

    private void beginSecond(long nowMs) {
        if (nowMs / SECOND_MS != mSecond) {
            mSecond = nowMs / SECOND_MS;
            mSuccessLines = 0;
            mFailureLines = 0;
            mStateChangeLines = 0;
            if (mDroppedLines > 0) {
                LOG.info(
                        "{\"at_ms\":{},\"kind\":\"lines-left-out\",\"count\":{}}",
                        nowMs,
                        mDroppedLines);
                mDroppedLines = 0;
            }
        }
    }
}
