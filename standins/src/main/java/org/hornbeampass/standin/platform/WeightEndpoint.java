package org.hornbeampass.standin.platform;

import org.hornbeampass.standin.admin.Routes;
import org.hornbeampass.standin.admin.SerialLoop;
import org.hornbeampass.transport.http.HttpExchange;
import org.hornbeampass.transport.http.HttpHandler;

import java.util.Map;
import java.util.TreeMap;

/**
 * The weight store over HTTP: {@code GET /v1/weights/{artifact}}, paced to a rate that all share.
 *
 * <p>Thread-safe: one lock guards the counts, and the pacer has its own.
 */
final class WeightEndpoint implements HttpHandler {
    static final String PATH = "/v1/weights/";

    private static final int OK = 200;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final Map<String, String> BINARY =
            Map.of("content-type", "application/octet-stream");

    private final Object mLock = new Object();
    private final WeightPacer mPacer;
    private final long mArtifactBytes;
    private final SerialLoop mLoop;
    private final TreeMap<String, Downloads> mDownloads = new TreeMap<>();

    /**
     * The downloads of one artifact.
     *
     * @param started how many were started
     * @param finished how many came whole
     * @param open how many are open
     * @param mostOpen how many were open at once at most
     */
    record Downloads(long started, long finished, int open, int mostOpen) {
        private static final Downloads NONE = new Downloads(0, 0, 0, 0);

        private Downloads plusStarted() {
            return new Downloads(started + 1, finished, open + 1, Math.max(mostOpen, open + 1));
        }

        private Downloads plusEnded(boolean whole) {
            return new Downloads(started, finished + (whole ? 1 : 0), open - 1, mostOpen);
        }
    }

    WeightEndpoint(PlatformSettings.Weights settings, SerialLoop loop) {
        mPacer = new WeightPacer(settings.bytesPerSecond());
        mArtifactBytes = settings.artifactBytes();
        mLoop = loop;
    }

    /** Returns the downloads by artifact. */
    Map<String, Downloads> downloads() {
        synchronized (mLock) {
            return new TreeMap<>(mDownloads);
        }
    }

    @Override
    public void handle(long nowMs, HttpExchange exchange) {
        String artifact = Routes.below(PATH, exchange);
        synchronized (mLock) {
            Downloads before = mDownloads.getOrDefault(artifact, Downloads.NONE);
            mDownloads.put(artifact, before.plusStarted());
        }
        exchange.startStream(OK, BINARY);
        Download download = new Download(artifact, exchange);
        exchange.onCallerGone(() -> mLoop.run(now -> download.stop()));
        mLoop.run(download::next);
    }

    private void ended(String artifact, boolean whole) {
        synchronized (mLock) {
            mDownloads.computeIfPresent(artifact, (name, d) -> d.plusEnded(whole));
        }
    }

    /** One download; its methods run on the loop. */
    private final class Download {
        private final String mArtifact;
        private final HttpExchange mExchange;
        private long mLeft = mArtifactBytes;
        private boolean mStopped;

        Download(String artifact, HttpExchange exchange) {
            mArtifact = artifact;
            mExchange = exchange;
        }

        void next(long nowMs) {
            if (mStopped) {
                return;
            }
            if (mLeft == 0) {
                mStopped = true;
                ended(mArtifact, true);
                mExchange.end();
                return;
            }
            int size = (int) Math.min(CHUNK_BYTES, mLeft);
            mLoop.at(mPacer.reserve(nowMs, size), t -> send(t, size));
        }

        void stop() {
            if (!mStopped) {
                mStopped = true;
                ended(mArtifact, false);
            }
        }

        private void send(long nowMs, int size) {
            if (!mStopped) {
                mLeft -= size;
                mExchange.write(new byte[size]);
                next(nowMs);
            }
        }
    }
}
