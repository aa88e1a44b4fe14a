package org.hornbeampass.standin.engine;

import org.hornbeampass.transport.http.HttpClient;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Fetches weights from a weight store over HTTP, and throws the bytes away.
 *
 * <p>Thread-safe, as its client is.
 */
final class StoreWeightSource implements WeightSource {
    private static final String PATH = "/v1/weights/";
    private static final long CONNECT_TIMEOUT_MS = 5_000;
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final int OK = 200;

    private final HttpClient mClient;
    private final String mStore;
    private final String mKey;

    StoreWeightSource(HttpClient client, String store, String key) {
        mClient = client;
        mStore = store;
        mKey = key;
    }

    @Override
    public void fetch(long nowMs, String artifact, Consumer<Boolean> done) {
        String name = URLEncoder.encode(artifact, StandardCharsets.UTF_8);
        var unused =
                mClient.send(
                        new HttpClient.Request(
                                "GET",
                                URI.create(mStore + PATH + name),
                                Map.of("authorization", "Bearer " + mKey),
                                new byte[0],
                                CONNECT_TIMEOUT_MS,
                                IDLE_TIMEOUT_MS),
                        new Download(done));
    }

    /** Listens to one download; called on one event loop. */
    private static final class Download implements HttpClient.Listener {
        private final Consumer<Boolean> mDone;
        private int mStatus;

        Download(Consumer<Boolean> done) {
            mDone = done;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mStatus = status;
        }

        @Override
        public void onData(byte[] chunk) {
            // The stand-in has no use for weights.
        }

        @Override
        public void onEnd() {
            mDone.accept(mStatus == OK);
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            mDone.accept(false);
        }
    }
}
