package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.standin.admin.Answers;
import org.hornbeampass.standin.admin.SerialLoop;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;

/**
 * The platform's object API over HTTP: each call is counted, held to the rates and given its fate.
 *
 * <p>Invariant: a call that is refused, throttled or silent has no effect. Thread-safe.
 */
final class ObjectEndpoint implements HttpHandler {
    private static final int STATUS_TOO_LARGE = 413;

    private final MemoryPlatform mPlatform;
    private final CallMeter mMeter;
    private final FaultPlan mPlan;
    private final SerialLoop mLoop;
    private final AtomicInteger mWaitingWatches = new AtomicInteger();

    ObjectEndpoint(MemoryPlatform platform, CallMeter meter, FaultPlan plan, SerialLoop loop) {
        mPlatform = platform;
        mMeter = meter;
        mPlan = plan;
        mLoop = loop;
    }

    /** Returns how many watches wait now. */
    int waitingWatches() {
        return mWaitingWatches.get();
    }

    @Override
    public void handle(long nowMs, HttpExchange exchange) {
        Answers.orError(exchange, () -> take(nowMs, exchange));
    }

    private void take(long nowMs, HttpExchange exchange) {
        if (exchange.body().length > PlatformCall.MAX_VALUE_BYTES) {
            Answers.error(exchange, STATUS_TOO_LARGE, "a value has at most one megabyte");
            return;
        }
        Optional<PlatformCall> call = CallParser.parse(exchange);
        if (call.isEmpty()) {
            Answers.error(exchange, Answers.BAD_REQUEST, "not a call of the object API");
            return;
        }
        boolean admitted = mMeter.admit(nowMs, call.get().kind());
        carryOut(nowMs, exchange, call.get(), admitted);
    }

    private void carryOut(long nowMs, HttpExchange exchange, PlatformCall call, boolean admitted) {
        CallFate fate = mPlan.fate(nowMs, call);
        switch (fate.outcome()) {
            case REFUSE -> exchange.abort();
            case SILENT -> {
                // The caller gives up by itself.
            }
            case THROTTLE -> ReplyWriter.write(exchange, new PlatformReply.Throttled());
            default -> {
                if (admitted) {
                    takeEffect(nowMs, exchange, call, fate);
                } else {
                    ReplyWriter.write(exchange, new PlatformReply.Throttled());
                }
            }
        }
    }

    private void takeEffect(long nowMs, HttpExchange exchange, PlatformCall call, CallFate fate) {
        switch (fate.outcome()) {
            case LOSE_REPLY -> after(nowMs, fate, t -> applyThenBreak(t, exchange, call));
            case LATE_EFFECT -> {
                exchange.abort();
                after(nowMs, fate, t -> mPlatform.submit(t, call, (at, reply) -> {}));
            }
            default -> after(nowMs, fate, t -> answer(t, exchange, call));
        }
    }

    private void applyThenBreak(long nowMs, HttpExchange exchange, PlatformCall call) {
        mPlatform.submit(nowMs, call, (at, reply) -> exchange.abort());
    }

    private void answer(long nowMs, HttpExchange exchange, PlatformCall call) {
        boolean watch = call.kind() == PlatformCall.Kind.WATCH;
        if (watch) {
            mWaitingWatches.incrementAndGet();
        }
        mPlatform.submit(
                nowMs,
                call,
                (at, reply) -> {
                    if (watch) {
                        mWaitingWatches.decrementAndGet();
                    }
                    ReplyWriter.write(exchange, reply);
                });
    }

    private void after(long nowMs, CallFate fate, LongConsumer effect) {
        if (fate.delayMs() == 0) {
            effect.accept(nowMs);
            return;
        }
        mLoop.at(nowMs + fate.delayMs(), effect);
    }
}
