package org.hornbeampass.experiment.path;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.hornbeampass.transport.http.HttpClient;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests at fixed times, whatever becomes of earlier ones, and records their latencies from
 * the time at which each was due.
 *
 * <p>One thread sends; answers come on the client's loops. Thread-safe.
 */
final class OpenLoopLoad {
    private static final int DIGITS = 3;
    private static final byte[] FIELD = "\"content\":".getBytes(StandardCharsets.UTF_8);
    private static final long DRAIN_NS = TimeUnit.SECONDS.toNanos(10);

    private final HttpClient mClient;
    private final HttpClient.Request mRequest;
    private final Recorder mFirstNs = new Recorder(DIGITS);
    private final Recorder mTokensNs = new Recorder(DIGITS);
    private final Recorder mWholeNs = new Recorder(DIGITS);
    private final int mTokens;
    private final AtomicLong mOpen = new AtomicLong();
    private final AtomicLong mErrors = new AtomicLong();

    /** What came of a load: latencies in nanoseconds and the number of failed requests. */
    record Result(Histogram firstNs, Histogram tokensNs, Histogram wholeNs, long errors) {}

    OpenLoopLoad(HttpClient client, HttpClient.Request request, int tokens) {
        mClient = client;
        mTokens = tokens;
        mRequest = request;
    }

    /** Sends one request that was due at a time. */
    void send(long dueNs) {
        mOpen.incrementAndGet();
        mClient.send(mRequest, new Answer(dueNs));
    }

    /** Waits until all answers have come, within a bound. */
    void drain() {
        long endNs = System.nanoTime() + DRAIN_NS;
        while (mOpen.get() > 0 && System.nanoTime() < endNs) {
            LockSupport.parkNanos(100_000);
        }
        mErrors.addAndGet(mOpen.getAndSet(0));
    }

    /** Returns what was recorded since the last call. */
    Result take() {
        return new Result(
                mFirstNs.getIntervalHistogram(),
                mTokensNs.getIntervalHistogram(),
                mWholeNs.getIntervalHistogram(),
                mErrors.getAndSet(0));
    }

    /** Records one answer. */
    private final class Answer implements HttpClient.Listener {
        private final long mDueNs;
        private boolean mFirst = true;
        private boolean mGood;
        private int mTokensSeen;

        Answer(long dueNs) {
            mDueNs = dueNs;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mGood = status == 200;
        }

        @Override
        public void onData(byte[] chunk) {
            if (mFirst && mGood) {
                mFirst = false;
                mFirstNs.recordValue(Math.max(0, System.nanoTime() - mDueNs));
            }
            int before = mTokensSeen;
            mTokensSeen += tokens(chunk);
            if (before < mTokens && mTokensSeen >= mTokens && mGood) {
                mTokensNs.recordValue(Math.max(0, System.nanoTime() - mDueNs));
            }
        }

        @Override
        public void onEnd() {
            if (mGood) {
                mWholeNs.recordValue(Math.max(0, System.nanoTime() - mDueNs));
            } else {
                mErrors.incrementAndGet();
            }
            mOpen.decrementAndGet();
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            mErrors.incrementAndGet();
            mOpen.decrementAndGet();
        }
    }

    /** Counts the tokens in a part of a stream, by their field. */
    private static int tokens(byte[] part) {
        int count = 0;
        for (int i = 0; i + FIELD.length <= part.length; i++) {
            if (part[i] == FIELD[0]
                    && Arrays.equals(part, i, i + FIELD.length, FIELD, 0, FIELD.length)) {
                count++;
            }
        }
        return count;
    }
}
