package org.hornbeampass.router.front;

import org.hornbeampass.transport.http.HttpExchange;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/** A request without a connection; answers are discarded. */
record TestExchange(String method, String rawTarget, Map<String, String> headers, String text)
        implements HttpExchange {
    @Override
    public String path() {
        int query = rawTarget.indexOf('?');
        return query < 0 ? rawTarget : rawTarget.substring(0, query);
    }

    @Override
    public Optional<String> query(String name) {
        return Optional.empty();
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    @Override
    public byte[] body() {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String remoteAddress() {
        return "test";
    }

    @Override
    public void respond(int status, Map<String, String> answerHeaders, byte[] body) {}

    @Override
    public void startStream(int status, Map<String, String> answerHeaders) {}

    @Override
    public boolean write(byte[] chunk) {
        return true;
    }

    @Override
    public void end() {}

    @Override
    public void abort() {}

    @Override
    public void onWritable(Runnable action) {}

    @Override
    public void onCallerGone(Runnable action) {}
}
