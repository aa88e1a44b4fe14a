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
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Wraps the store to count its calls by kind and result, and to log when the store is lost,
 * regained or restored.
 *
 * <p>Invariants: a line "store-lost" is followed by "store-regained" before the next "store-lost";
 * a hanging call counts as a loss of the store before it fails. Confined to one event loop.
 */
final class ObservedStore implements Platform {
    /**
     * Time without any byte of an answer after which the store counts as lost, in milliseconds:
     * answers take 4 ms, and 400 ms when the store is slow.
     */
    private static final long HANG_TIMEOUT_MS = 600;

    /**
     * Size in bytes from which an answer is logged: a link of 7 Mbit/s needs some 150 ms for it.
     */
    private static final int LARGE_ANSWER_BYTES = 128 << 10;

    /** Names of other writers may have any length. */
    private static final int MAX_LOGGED_KEY_CHARS = 200;

    /** The interval between lines about the number of calls, in milliseconds. */
    private static final long CALLS_LINE_INTERVAL_MS = 5_000;

    private final Platform mStore;
    private final RelayLog mLog;
    private final MetricRegistry mMetrics;
    private final StoreHistoryMonitor mHistory;
    private final Set<OpenCall> mOpen = new LinkedHashSet<>();
    private LongConsumer mRegainedListener = nowMs -> {};
    private final Map<String, Long> mCallsByTopic = new TreeMap<>();
    private long mNextCallsLineMs;
    private boolean mLost;
    private long mLostAtMs;
    private long mLastAnswerMs;

    ObservedStore(Platform store, RelayLog log, MetricRegistry metrics) {
        mStore = store;
        mLog = log;
        mMetrics = metrics;
        mHistory = new StoreHistoryMonitor(log, metrics);
        metrics.register("store_lost", (Gauge<Integer>) () -> mLost ? 1 : 0);
    }

    /** A call that is waiting for its answer; compared by identity. */
    private static final class OpenCall {
        private final PlatformCall mCall;
        private final long mStartMs;
        private final long mVersionBefore;
        private long mBytes;
        private long mLastBytesMs;

        OpenCall(PlatformCall call, long sinceMs, long versionBefore) {
            mCall = call;
            mStartMs = sinceMs;
            mVersionBefore = versionBefore;
            mLastBytesMs = sinceMs;
        }

        void onBytes(long nowMs, int bytes) {
            mBytes += bytes;
            mLastBytesMs = nowMs;
        }

        boolean isHanging(long nowMs) {
            return mCall.kind() != PlatformCall.Kind.WATCH
                    && nowMs - mLastBytesMs >= HANG_TIMEOUT_MS;
        }
    }

    /** Returns whether the store answers this VM, as far as calls have shown. */
    boolean answers() {
        return !mLost;
    }

    /**
     * Sets the listener that is called with the current time in milliseconds when the store answers
     * again.
     */
    void onRegained(LongConsumer listener) {
        mRegainedListener = listener;
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
        OpenCall open = new OpenCall(call, nowMs, mHistory.version());
        mOpen.add(open);
        countByTopic(call);
        Runnable giveUp =
                mStore.submit(
                        nowMs,
                        call,
                        new ObservedProgress(open, progress),
                        (t, reply) -> {
                            mOpen.remove(open);
                            onReply(t, open, reply);
                            done.accept(t, reply);
                        });
        return () -> {
            mOpen.remove(open);
            giveUp.run();
        };
    }

    /** Records the progress of an answer before it is passed on. */
    private final class ObservedProgress implements AnswerProgress {
        private final OpenCall mCall;
        private final AnswerProgress mListener;

        ObservedProgress(OpenCall call, AnswerProgress listener) {
            mCall = call;
            mListener = listener;
        }

        @Override
        public void onBytes(long nowMs, int bytes) {
            mCall.onBytes(nowMs, bytes);
            mListener.onBytes(nowMs, bytes);
        }

        @Override
        public void onEra(long nowMs, long era) {
            mHistory.onEra(nowMs, era);
            mListener.onEra(nowMs, era);
        }
    }

    private void onReply(long nowMs, OpenCall open, PlatformReply reply) {
        mHistory.onReply(nowMs, reply, open.mVersionBefore);
        PlatformCall call = open.mCall;
        String result = reply.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        String kind = call.kind().name().toLowerCase(Locale.ROOT);
        recordSize(nowMs, open, kind);
        if (call instanceof PlatformCall.ListObjects list
                && reply instanceof PlatformReply.Listed page) {
            logPage(nowMs, list, page);
        }
        mMetrics.counter("store_calls{kind=\"" + kind + "\",result=\"" + result + "\"}").inc();
        if (reply instanceof PlatformReply.Unavailable unavailable) {
            onLost(nowMs, call, unavailable.reason());
        } else if (reply instanceof PlatformReply.Throttled) {
            onLost(nowMs, call, "rejected as throttled");
        } else {
            onAnswered(nowMs);
        }
    }

    /** Counts a call by what it is about, which is the first part of its key or prefix. */
    private void countByTopic(PlatformCall call) {
        String key = call.target();
        String topic = key.substring(0, Math.max(0, key.indexOf('/')));
        String name = call.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        mMetrics.counter("store_calls_about{topic=\"" + topic + "\",call=\"" + name + "\"}").inc();
        mCallsByTopic.merge(topic + "-" + name, 1L, Long::sum);
    }

    /** Logs how many calls there were since the last line, by topic. */
    private void logCalls(long nowMs) {
        if (nowMs < mNextCallsLineMs) {
            return;
        }
        mNextCallsLineMs = nowMs + CALLS_LINE_INTERVAL_MS;
        if (mCallsByTopic.isEmpty()) {
            return;
        }
        LogFields fields = new LogFields();
        mCallsByTopic.forEach(fields::add);
        mCallsByTopic.clear();
        mLog.logStateChange(nowMs, "store-calls", fields);
    }

    /** Counts the bytes of an answer, and logs an answer that occupies a slow link for long. */
    private void recordSize(long nowMs, OpenCall open, String kind) {
        mMetrics.counter("store_bytes{kind=\"" + kind + "\"}").inc(open.mBytes);
        if (open.mBytes < LARGE_ANSWER_BYTES) {
            return;
        }
        mLog.logStateChange(
                nowMs,
                "store-answer-large",
                new LogFields()
                        .add("call", open.mCall.getClass().getSimpleName())
                        .add("bytes", open.mBytes)
                        .add("took_ms", nowMs - open.mStartMs));
    }

    /** Logs a page of a list that has several, by where it begins and how it ends. */
    private void logPage(long nowMs, PlatformCall.ListObjects list, PlatformReply.Listed page) {
        if (list.afterKey().isEmpty() && !page.more()) {
            return;
        }
        int size = page.objects().size();
        mLog.logStateChange(
                nowMs,
                "store-list-page",
                new LogFields()
                        .add("prefix", list.prefix())
                        .add("after", shortened(list.afterKey()))
                        .add("objects", size)
                        .add("last", size == 0 ? "" : shortened(page.objects().get(size - 1).key()))
                        .add("more", page.more()));
    }

    private static String shortened(String key) {
        return key.length() <= MAX_LOGGED_KEY_CHARS
                ? key
                : key.substring(0, MAX_LOGGED_KEY_CHARS) + "...";
    }

    private void onLost(long nowMs, PlatformCall call, String reason) {
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
                        .add("last_answer_ms", nowMs - mLastAnswerMs));
    }

    private void onAnswered(long nowMs) {
        mLastAnswerMs = nowMs;
        if (!mLost) {
            return;
        }
        mLost = false;
        mLog.logStateChange(
                nowMs, "store-regained", new LogFields().add("lost_ms", nowMs - mLostAtMs));
        mRegainedListener.accept(nowMs);
    }

    /** Reports the store as lost if a call hangs, and logs the number of calls. */
    void tick(long nowMs) {
        logCalls(nowMs);
        for (OpenCall each : mOpen) {
            if (each.isHanging(nowMs)) {
                onLost(nowMs, each.mCall, "no answer for " + (nowMs - each.mStartMs) + " ms");
                return;
            }
        }
    }
}
