package org.hornbeampass.router.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.hornbeampass.coordination.platform.AnswerProgress;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;

import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * The store, with its calls counted by kind and result, and a log line when it is lost or regained.
 *
 * <p>Invariants: a line "store-lost" is followed by "store-regained" before the next "store-lost";
 * a call that hangs counts as lost before it is given up. Confined to one event loop.
 */
final class ObservedStore implements Platform {
    /**
     * A call of whose answer nothing came for so long, in milliseconds, is a lost store: answers
     * take 4 ms, and 400 where the store is slow.
     */
    private static final long HANGS_MS = 600;

    /** An answer of so many bytes takes a link of 7 Mbit/s some 150 ms, and is logged. */
    private static final int LARGE_BYTES = 128 << 10;

    private final Platform mStore;
    private final RelayLog mLog;
    private final MetricRegistry mMetrics;
    private final Set<OpenCall> mOpen = new LinkedHashSet<>();
    private LongConsumer mOnRegained = nowMs -> {};
    private boolean mLost;
    private long mLostAtMs;
    private long mAnsweredMs;

    ObservedStore(Platform store, RelayLog log, MetricRegistry metrics) {
        mStore = store;
        mLog = log;
        mMetrics = metrics;
        metrics.register("store_lost", (Gauge<Integer>) () -> mLost ? 1 : 0);
    }

    /** A call that waits for its answer; compared by identity. */
    private static final class OpenCall {
        private final PlatformCall mCall;
        private final long mSinceMs;
        private long mBytes;
        private long mHeardMs;

        OpenCall(PlatformCall call, long sinceMs) {
            mCall = call;
            mSinceMs = sinceMs;
            mHeardMs = sinceMs;
        }

        void heard(long nowMs, int bytes) {
            mBytes += bytes;
            mHeardMs = nowMs;
        }

        boolean hangs(long nowMs) {
            return mCall.kind() != PlatformCall.Kind.WATCH && nowMs - mHeardMs >= HANGS_MS;
        }
    }

    /** Names who hears, with the time in milliseconds, that the store answers again. */
    void onRegained(LongConsumer listener) {
        mOnRegained = listener;
    }

    @Override
    public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        Runnable unused = submit(nowMs, call, AnswerProgress.IGNORED, done);
    }

    @Override
    public Runnable submit(
            long nowMs,
            PlatformCall call,
            AnswerProgress progress,
            BiConsumer<Long, PlatformReply> done) {
        OpenCall open = new OpenCall(call, nowMs);
        mOpen.add(open);
        Runnable giveUp =
                mStore.submit(
                        nowMs,
                        call,
                        (t, bytes) -> {
                            open.heard(t, bytes);
                            progress.onBytes(t, bytes);
                        },
                        (t, reply) -> {
                            mOpen.remove(open);
                            note(t, open, reply);
                            done.accept(t, reply);
                        });
        return () -> {
            mOpen.remove(open);
            giveUp.run();
        };
    }

    private void note(long nowMs, OpenCall open, PlatformReply reply) {
        PlatformCall call = open.mCall;
        String result = reply.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        String kind = call.kind().name().toLowerCase(Locale.ROOT);
        noteSize(nowMs, open, kind);
        mMetrics.counter("store_calls{kind=\"" + kind + "\",result=\"" + result + "\"}").inc();
        if (reply instanceof PlatformReply.Unavailable unavailable) {
            lost(nowMs, call, unavailable.reason());
        } else if (reply instanceof PlatformReply.Throttled) {
            lost(nowMs, call, "turned away");
        } else {
            answered(nowMs);
        }
    }

    /** Counts the bytes of an answer, and logs one that fills a small link for long. */
    private void noteSize(long nowMs, OpenCall open, String kind) {
        mMetrics.counter("store_bytes{kind=\"" + kind + "\"}").inc(open.mBytes);
        if (open.mBytes < LARGE_BYTES) {
            return;
        }
        mLog.logStateChange(
                nowMs,
                "store-answer-large",
                new LogFields()
                        .add("call", open.mCall.getClass().getSimpleName())
                        .add("bytes", open.mBytes)
                        .add("took_ms", nowMs - open.mSinceMs));
    }

    private void lost(long nowMs, PlatformCall call, String reason) {
        if (mLost) {
            return;
        }
        mLost = true;
        mLostAtMs = nowMs;
        mLog.logStateChange(
                nowMs,
                "store-lost",
                new LogFields()
                        .add("call", call.getClass().getSimpleName())
                        .add("reason", reason)
                        .add("last_answer_ms", nowMs - mAnsweredMs));
    }

    private void answered(long nowMs) {
        mAnsweredMs = nowMs;
        if (!mLost) {
            return;
        }
        mLost = false;
        mLog.logStateChange(
                nowMs, "store-regained", new LogFields().add("lost_ms", nowMs - mLostAtMs));
        mOnRegained.accept(nowMs);
    }

    /** Looks for calls that hang. */
    void tick(long nowMs) {
        for (OpenCall each : mOpen) {
            if (each.hangs(nowMs)) {
                lost(nowMs, each.mCall, "no answer for " + (nowMs - each.mSinceMs) + " ms");
                return;
            }
        }
    }
}
