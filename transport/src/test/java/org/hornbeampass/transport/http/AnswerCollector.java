package org.hornbeampass.transport.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Collects one answer for a test. */
final class AnswerCollector implements HttpClient.Listener {
    private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private int mStatus;
    private Map<String, String> mHeaders = Map.of();

    static HttpClient.Request request(
            InetSocketAddress address, String method, String target, String body) {
        return new HttpClient.Request(
                method,
                URI.create("http://127.0.0.1:" + address.getPort() + target),
                Map.of(),
                body.getBytes(StandardCharsets.UTF_8),
                5_000,
                20_000);
    }

    CompletableFuture<Answer> answer() {
        return mAnswer;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        mStatus = status;
        mHeaders = headers;
    }

    @Override
    public void onData(byte[] chunk) {
        mBody.writeBytes(chunk);
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
        mAnswer.complete(
                new Answer(mStatus, mHeaders, mBody.toString(StandardCharsets.UTF_8), failure));
    }
}
