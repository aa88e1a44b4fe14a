package org.hornbeampass.router.relay;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.transport.relay.IntakeListener;
import org.hornbeampass.transport.relay.UnreadRequest;

import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Logs the requests whose callers left before they were handed over, and passes what is observed to
 * the intake.
 *
 * <p>Confined to one event loop.
 */
public final class IntakeObserver implements IntakeListener {
    private final RelayContext mContext;
    private final Optional<BacklogIntake> mIntake;

    private IntakeObserver(RelayContext context, Optional<BacklogIntake> intake) {
        mContext = context;
        mIntake = intake;
    }

    /**
     * Creates the observer of one VM.
     *
     * @param settings what decides; without refusals by backlog and a bound, it only logs
     * @param tickMs the interval of {@link #tick} in milliseconds
     * @param metrics where the metrics of the intake are registered
     */
    public static IntakeObserver create(
            RelayContext context, IntakeSettings settings, long tickMs, MetricRegistry metrics) {
        Optional<BacklogIntake> intake =
                settings.byBacklog()
                        ? Optional.of(createIntake(context, tickMs, metrics))
                        : Optional.empty();
        if (settings.bufferBytes() > 0) {
            BufferLimit limit = new BufferLimit(settings.bufferBytes());
            context.limitBuffers(limit);
            registerMetrics(metrics, limit);
        }
        return new IntakeObserver(context, intake);
    }

    private static void registerMetrics(MetricRegistry metrics, BufferLimit limit) {
        metrics.register("buffer_bytes_held", (Gauge<Long>) limit::totalBytes);
        metrics.register("buffer_bytes_peak", (Gauge<Long>) limit::peakBytes);
        metrics.register("buffer_bytes_limit", (Gauge<Long>) limit::boundBytes);
        metrics.register("buffer_senders_paused", (Gauge<Integer>) limit::pausedSenders);
        metrics.register("buffer_readers_closed", (Gauge<Long>) limit::closedReaders);
    }

    private static BacklogIntake createIntake(
            RelayContext context, long tickMs, MetricRegistry metrics) {
        BacklogIntake intake = new BacklogIntake(tickMs, context.log(), context.random());
        intake.registerMetrics(metrics);
        context.setIntake(intake);
        return intake;
    }

    /** Records a tick of the event loop; {@code otherVms} returns how many others are live. */
    public void tick(long nowMs, IntSupplier otherVms) {
        mIntake.ifPresent(i -> i.tick(nowMs, otherVms.getAsInt()));
        mContext.bufferLimit().ifPresent(l -> l.tick(nowMs));
    }

    @Override
    public void onHandover(long nowMs, long readMs, int waiting) {
        mIntake.ifPresent(i -> i.onHandover(nowMs, readMs, waiting));
    }

    @Override
    public void onUnread(long nowMs, UnreadRequest unread) {
        String id = requestId(unread.head());
        mContext.log()
                .logUnread(
                        nowMs,
                        id,
                        new LogFields()
                                .add("waited_ms", unread.waitedMs())
                                .add("open_ms", unread.openMs())
                                .add("head_complete", unread.head().isPresent())
                                .add("loop_delay_ms", mContext.loopDelayMs()));
    }

    private String requestId(Optional<HttpRequest> head) {
        return head.flatMap(h -> mContext.wire().readHead(h).toJavaOptional())
                .map(CallerHead::id)
                .orElse("");
    }

    @Override
    public Optional<BufferLimit> bufferLimit() {
        return mContext.bufferLimit();
    }

    @Override
    public void onClosedSlow(
            long nowMs, Optional<HttpRequest> head, long heldBytes, long stalledMs) {
        mContext.log()
                .logDecision(
                        nowMs,
                        requestId(head),
                        "caller-closed-slow",
                        new LogFields()
                                .add("held_bytes", heldBytes)
                                .add("stalled_ms", stalledMs)
                                .add(
                                        "buffer_bytes_held",
                                        bufferLimit().map(BufferLimit::totalBytes).orElse(0L)));
    }

    @Override
    public boolean closesAfterAnswer(long nowMs, int connections) {
        return mIntake.filter(i -> i.closesAfterAnswer(nowMs, connections)).isPresent();
    }
}
