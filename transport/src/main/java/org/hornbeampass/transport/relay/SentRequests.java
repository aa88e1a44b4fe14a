package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpMethod;

import java.util.ArrayDeque;
import java.util.Optional;

/**
 * Remembers the last requests that were sent on a connection, since an upstream may answer each of
 * them a second time later.
 *
 * <p>Not thread-safe.
 */
final class SentRequests {
    /** How many requests are remembered. */
    private static final int MAX_REQUESTS = 16;

    private final ArrayDeque<Sent> mRequests = new ArrayDeque<>();

    /** A request that was sent. */
    private record Sent(String id, HttpMethod method) {}

    /** Adds the request that is sent now. */
    void add(String id, HttpMethod method) {
        if (mRequests.size() == MAX_REQUESTS) {
            mRequests.removeLast();
        }
        mRequests.addFirst(new Sent(id, method));
    }

    /** Returns the method of the last request with an id; empty if none is remembered. */
    Optional<HttpMethod> method(String id) {
        return mRequests.stream().filter(r -> r.id().equals(id)).findFirst().map(Sent::method);
    }
}
