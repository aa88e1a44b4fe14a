package org.hornbeampass.experiment.caller;

import org.hornbeampass.transport.http.HttpClient;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One call of a plain service that a caller asks for.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the caller's key
 * @param idempotencyKey the request's name, kept over its retries
 * @param service the service
 * @param method {@code POST} for a record that may be made only once, {@code GET} to read one
 * @param path the path at the service
 * @param body the body; empty for a read
 */
public record ServiceRequest(
        String key, String idempotencyKey, String service, String method, String path, String body)
        implements CallerRequest {
    @Override
    public String tag() {
        return idempotencyKey;
    }

    @Override
    public boolean chat() {
        return false;
    }

    @Override
    public HttpClient.Request to(String router) {
        return new HttpClient.Request(
                method,
                URI.create("http://" + router + "/v1/services/" + service + path),
                Map.of(
                        "authorization",
                        "Bearer " + key,
                        "content-type",
                        "application/json",
                        "idempotency-key",
                        idempotencyKey),
                body.getBytes(StandardCharsets.UTF_8),
                ChatCaller.CONNECT_TIMEOUT_MS,
                ChatCaller.IDLE_TIMEOUT_MS);
    }
}
