package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * A request whose caller closed the connection before the request was handed over.
 *
 * <p>Immutable, but for the head, which nobody changes.
 *
 * @param head the request's head; empty if it was incomplete
 * @param waitedMs how long ago its first bytes were read, in milliseconds
 * @param openMs how long ago its connection was accepted, in milliseconds
 */
public record UnreadRequest(Optional<HttpRequest> head, long waitedMs, long openMs) {
    /**
     * Returns the unread requests of a connection.
     *
     * @param queued the messages that were decoded but not handled
     * @param begun whether bytes of a head were read, which may be incomplete
     * @param waitedMs how long ago the first of these bytes were read, in milliseconds
     * @param openMs how long ago the connection was accepted, in milliseconds
     */
    static List<UnreadRequest> all(
            Collection<HttpObject> queued, boolean begun, long waitedMs, long openMs) {
        List<UnreadRequest> unread = new ArrayList<>();
        for (HttpObject each : queued) {
            if (each instanceof HttpRequest head) {
                unread.add(new UnreadRequest(Optional.of(head), waitedMs, openMs));
            }
        }
        if (unread.isEmpty() && begun) {
            unread.add(new UnreadRequest(Optional.empty(), waitedMs, openMs));
        }
        return unread;
    }
}
