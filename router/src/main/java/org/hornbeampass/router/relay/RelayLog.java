package org.hornbeampass.router.relay;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.transport.relay.AnswerFraming;
import org.hornbeampass.transport.relay.UnrequestedInput;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Logs and counts the decisions on requests.
 *
 * <p>Each decision is one line with the fields of one JSON object. The appender drops lines rather
 * than block, and successful answers are logged only up to a rate, so that a flood of requests
 * leaves capacity for lines on failures. Confined to one event loop, except for its construction.
 */
public final class RelayLog {
    private static final Logger LOG = LogManager.getLogger("decisions");

    /**
     * The most lines on successful answers per second. A VM under normal load stays below this; on
     * an overloaded VM further lines are dropped.
     */
    private static final int SUCCESS_LINES_PER_S = 20;

    /** The most lines on failures, and on decisions within requests, per second. */
    private static final int FAILURE_LINES_PER_S = 100;

    /**
     * The most lines on state changes per second. They have a limit of their own, because in a
     * flood of failures they show its cause.
     */
    private static final int STATE_CHANGE_LINES_PER_S = 100;

    /**
     * The most lines on lost upstreams per second. They have a limit of their own, because in a
     * flood of refusals they show which requests were in progress at an upstream that crashed.
     */
    private static final int LOSS_LINES_PER_S = 100;

    private static final long SECOND_MS = 1_000;

    private final MetricRegistry mMetrics;
    private final VmChanges mChanges = new VmChanges();
    private long mSecond;
    private int mSuccessLines;
    private int mFailureLines;
    private int mStateChangeLines;
    private int mLossLines;
    private long mDroppedLines;

    /** Creates a log that counts decisions in a metric registry. */
    public RelayLog(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    /** Returns what changed last at this VM, which the lines on failed requests state. */
    public VmChanges changes() {
        return mChanges;
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
                        .addAll(resumption(head))
                        .addAll(inputs);
        boolean answered = outcome.equals("answered");
        if (!answered) {
            fields.addAll(mChanges.fields(nowMs));
        }
        boolean allowed = answered ? allowSuccessLine(nowMs) : allowFailureLine(nowMs);
        write(nowMs, allowed, "ended", head.id(), fields);
    }

    /** Returns the earlier attempt that a caller resumes, and the last event that it received. */
    private static LogFields resumption(CallerHead head) {
        LogFields fields = new LogFields();
        head.resumes().ifPresent(id -> fields.add("resumes", id));
        head.lastEventId().ifPresent(id -> fields.add("last_event_id", id));
        return fields;
    }

    /** Counts an answer of an upstream by its framing. */
    void countAnswer(AnswerFraming framing) {
        mMetrics.counter("answers{framing=\"" + framing.logName() + "\"}").inc();
    }

    /** Counts and logs a decision within a request. */
    void logDecision(long nowMs, String id, String decision, LogFields inputs) {
        mMetrics.counter("decisions{kind=\"" + decision + "\"}").inc();
        write(nowMs, allowFailureLine(nowMs), decision, id, inputs);
    }

    /** Counts and logs an answer that the request on its connection did not ask for. */
    void logUnrelatedAnswer(long nowMs, String id, UnrequestedInput where, LogFields inputs) {
        countUnrequested(where);
        logDecision(nowMs, id, "unrelated-answer", inputs);
    }

    /** Counts and logs bytes of an upstream that belong to no request. */
    public void logUnrequestedInput(long nowMs, String address, UnrequestedInput where) {
        countUnrequested(where);
        LogFields fields = new LogFields().add("address", address).add("found", where.logName());
        logStateChange(nowMs, "unrequested-input", fields);
    }

    private void countUnrequested(UnrequestedInput where) {
        mMetrics.counter("unrequested_input{found=\"" + where.logName() + "\"}").inc();
    }

    /** Counts and logs that a request was refused because of this VM's backlog. */
    void logIntakeRefusal(long nowMs, String id, double backlogMs, double limitMs, int waiting) {
        mMetrics.counter("decisions{kind=\"intake-refused\"}").inc();
        write(
                nowMs,
                allowFailureLine(nowMs),
                "intake-refused",
                id,
                new LogFields()
                        .add("backlog_ms", Math.round(backlogMs))
                        .add("limit_ms", Math.round(limitMs))
                        .add("waiting", waiting));
    }

    /**
     * Counts and logs that a request is not sent on, though its answer is not complete.
     *
     * @param nowMs the present time in milliseconds
     * @param id the request's id
     * @param begun whether the caller received a part of the answer
     * @param reason why it is not sent on
     */
    void logGivenUp(long nowMs, String id, boolean begun, String reason) {
        LogFields fields = new LogFields().add("reason", reason).addAll(mChanges.fields(nowMs));
        logDecision(nowMs, id, begun ? "broken-off" : "given-up", fields);
    }

    /** Counts and logs a request whose caller left before the request was handled. */
    void logUnread(long nowMs, String id, LogFields inputs) {
        mMetrics.counter("requests_unread").inc();
        logDecision(nowMs, id, "request-unread", inputs);
    }

    /** Measures and logs how long a request waited for a place at its service. */
    void logWaited(long nowMs, String id, long waitedMs, LogFields inputs) {
        mMetrics.histogram("admission_waited_ms").update(waitedMs);
        logDecision(nowMs, id, "admission-waited", inputs);
    }

    /** Counts and logs that a request of an urgency is refused for lack of room. */
    void logNoRoom(long nowMs, String id, int urgency, LogFields inputs) {
        mMetrics.counter("refused_no_room{urgency=\"" + urgency + "\"}").inc();
        logDecision(nowMs, id, "refused-no-room", inputs);
    }

    /** Publishes how many requests wait for a service. */
    void gaugeWaiting(String service, IntSupplier waiting) {
        mMetrics.register(
                "admission_waiting{service=\"" + service + "\"}",
                (Gauge<Integer>) waiting::getAsInt);
    }

    /** Counts and logs that a request has lost the upstream that ran it. */
    void logUpstreamLost(long nowMs, String id, LogFields inputs) {
        mMetrics.counter("decisions{kind=\"upstream-lost\"}").inc();
        beginSecond(nowMs);
        write(nowMs, mLossLines++ < LOSS_LINES_PER_S, "upstream-lost", id, inputs);
    }

    /**
     * Counts and logs a change in this VM's view of the fleet, such as a lost or regained store.
     */
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
            mLossLines = 0;
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
