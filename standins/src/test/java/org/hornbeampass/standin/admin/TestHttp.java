package org.hornbeampass.standin.admin;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.NettyHttpClient;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Calls a stand-in over HTTP and waits for the whole answer. */
public final class TestHttp implements AutoCloseable {
    private static final long TIMEOUT_MS = 20_000;

    private final HttpClient mClient = NettyHttpClient.create(Clock.monotonic());
    private final Map<String, String> mHeaders = new HashMap<>();

    /**
     * An answer.
     *
     * @param status the status; 0 where none came
     * @param headers the headers
     * @param body the body, as far as it came
     * @param failure why the answer is not whole; empty where it is
     */
    public record Answer(int status, Map<String, String> headers, String body, String failure) {}

    /** A call on its way. */
    public static final class Pending implements HttpClient.Listener {
        private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();
        private final CompletableFuture<Void> mFirstData = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private HttpClient.Call mCall;
        private int mStatus;
        private Map<String, String> mAnswerHeaders = Map.of();

        /** Waits for the answer. */
        public Answer await() throws Exception {
            return mAnswer.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        /** Waits for the first part of the answer's body. */
        public void awaitData() throws Exception {
            mFirstData.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        /** Closes the call's connection. */
        public void cancel() {
            mCall.cancel();
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mStatus = status;
            mAnswerHeaders = headers;
        }

        @Override
        public void onData(byte[] chunk) {
            mBody.writeBytes(chunk);
            mFirstData.complete(null);
        }

        @Override
        public void onEnd() {
            complete("");
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            complete("sent=" + sent + " " + reason);
        }

        private void complete(String failure) {
            String body = mBody.toString(StandardCharsets.UTF_8);
            mAnswer.complete(new Answer(mStatus, mAnswerHeaders, body, failure));
        }
    }

    /** Adds a header to all further calls. */
    public TestHttp with(String name, String value) {
        mHeaders.put(name, value);
        return this;
    }

    /** Starts a call. */
    public Pending start(String method, String uri, String body) {
        Pending pending = new Pending();
        pending.mCall =
                mClient.send(
                        new HttpClient.Request(
                                method,
                                URI.create(uri),
                                mHeaders,
                                body.getBytes(StandardCharsets.UTF_8),
                                TIMEOUT_MS,
                                TIMEOUT_MS),
                        pending);
        return pending;
    }

    /** Calls and waits for the answer. */
    public Answer call(String method, String uri, String body) throws Exception {
        return start(method, uri, body).await();
    }

    @Override
    public void close() {
        mClient.close();
    }
}
