package org.hornbeampass.router.admin;

import org.hornbeampass.transport.http.HttpExchange;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** A request made by a test that records its response; for use by one thread. */
final class FakeExchange implements HttpExchange {
    private final String mMethod;
    private final URI mUri;
    private final byte[] mBody;
    private final Map<String, String> mHeaders = new HashMap<>();
    private int mStatus;
    private int mAnswers;
    private String mAnswer = "";
    private Map<String, String> mAnswerHeaders = Map.of();

    FakeExchange(String method, String target, String body) {
        mMethod = method;
        mUri = URI.create(target);
        mBody = body.getBytes(StandardCharsets.UTF_8);
    }

    FakeExchange with(String header, String value) {
        mHeaders.put(header.toLowerCase(Locale.ROOT), value);
        return this;
    }

    int status() {
        return mAnswers == 1 ? mStatus : -mAnswers;
    }

    String answer() {
        return mAnswer;
    }

    Map<String, String> answerHeaders() {
        return mAnswerHeaders;
    }

    @Override
    public String method() {
        return mMethod;
    }

    @Override
    public String path() {
        return mUri.getPath();
    }

    @Override
    public Optional<String> query(String name) {
        if (mUri.getQuery() == null) {
            return Optional.empty();
        }
        for (String pair : mUri.getQuery().split("&", -1)) {
            if (pair.startsWith(name + "=")) {
                return Optional.of(pair.substring(name.length() + 1));
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(mHeaders.get(name.toLowerCase(Locale.ROOT)));
    }

    @Override
    public byte[] body() {
        return mBody;
    }

    @Override
    public String remoteAddress() {
        return "127.0.0.1";
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        mAnswers++;
        mStatus = status;
        mAnswerHeaders = headers;
        mAnswer = new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public void startStream(int status, Map<String, String> headers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean write(byte[] chunk) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void end() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void abort() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void onWritable(Runnable action) {}

    @Override
    public void onCallerGone(Runnable action) {}
}
