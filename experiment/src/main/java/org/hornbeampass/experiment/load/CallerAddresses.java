package org.hornbeampass.experiment.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.hornbeampass.transport.http.HttpClient;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The addresses that one organisation's callers use: the routers' own answer, kept for a while.
 *
 * <p>Invariant: never empty; an answer that is lost or empty leaves the last one. Thread-safe.
 */
public final class CallerAddresses {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 1_000;
    private static final long KEEP_NANOS = 2_000_000_000L;

    private final HttpClient mClient;
    private final String mKey;
    private volatile List<String> mAddresses;
    private volatile long mAskedNanos;
    private int mAsked;

    /** Makes the addresses, which start as those of all routers. */
    public CallerAddresses(HttpClient client, String key, List<String> first, long nowNanos) {
        mClient = client;
        mKey = key;
        mAddresses = List.copyOf(first);
        mAskedNanos = nowNanos - KEEP_NANOS;
    }

    /** Asks anew where the answer is old. */
    public void refresh(long nowNanos) {
        if (nowNanos - mAskedNanos >= KEEP_NANOS) {
            ask(nowNanos);
        }
    }

    /** Returns the address for a try of the nth request; asks anew after a failed try. */
    public String address(long nowNanos, int request, int tries) {
        if (tries > 0) {
            ask(nowNanos);
        }
        List<String> now = mAddresses;
        return now.get(Math.floorMod(request + tries, now.size()));
    }

    private synchronized void ask(long nowNanos) {
        if (nowNanos - mAskedNanos < KEEP_NANOS / 4) {
            return;
        }
        mAskedNanos = nowNanos;
        String router = mAddresses.get(Math.floorMod(mAsked++, mAddresses.size()));
        HttpClient.Call unused =
                mClient.send(
                        new HttpClient.Request(
                                "GET",
                                URI.create("http://" + router + "/v1/addresses"),
                                Map.of("authorization", "Bearer " + mKey),
                                new byte[0],
                                TIMEOUT_MS,
                                TIMEOUT_MS),
                        new Answer());
    }

    private void take(String body) {
        List<String> found = new ArrayList<>();
        try {
            for (JsonNode each : MAPPER.readTree(body).path("addresses")) {
                found.add(each.path("httpAddress").asText());
            }
        } catch (JsonProcessingException e) {
            return;
        }
        if (!found.isEmpty()) {
            mAddresses = List.copyOf(found);
        }
    }

    /** Collects one answer. */
    private final class Answer implements HttpClient.Listener {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mStatus = status;
        }

        @Override
        public void onData(byte[] chunk) {
            mBody.writeBytes(chunk);
        }

        @Override
        public void onEnd() {
            if (mStatus == 200) {
                take(mBody.toString(StandardCharsets.UTF_8));
            }
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            // The last answer is kept; the next try asks another router.
        }
    }
}
