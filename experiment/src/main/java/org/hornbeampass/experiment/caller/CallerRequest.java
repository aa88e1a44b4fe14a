package org.hornbeampass.experiment.caller;

import org.hornbeampass.transport.http.HttpClient;

/**
 * A request that a caller sends, the same over all its retries.
 *
 * <p>Implementations are immutable; safe for use by any thread.
 */
public interface CallerRequest {
    /** Returns the request's name, kept over its retries. */
    String idempotencyKey();

    /** Returns what shows in an answer whose it is. */
    String tag();

    /** Returns whether the answer has the shape of a chat completion. */
    boolean chat();

    /** Returns the request to send to a router, {@code host:port}. */
    HttpClient.Request to(String router);
}
