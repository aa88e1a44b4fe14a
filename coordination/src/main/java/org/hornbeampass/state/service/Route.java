package org.hornbeampass.state.service;

import java.util.List;

/**
 * Where the requests of one host and path prefix go, and what is promised of them.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name its name, for logs and metrics
 * @param host the host that callers ask for, in lower case
 * @param pathPrefix the start of the paths, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs how long a request may take, in milliseconds
 * @param objectiveMs within how many milliseconds an answer is on time
 * @param priority its rank among routes; 0 is the most urgent
 * @param targets the services that share the requests
 * @param maxAttempts to how many upstreams one request may be sent
 * @param allowsAnonymous whether requests need no key
 * @param resumable whether a stream may go on at another upstream
 * @param gapTargetMs the longest pause between events of an answer that is on time; 0 where there
 *     are no events
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMs,
        long objectiveMs,
        int priority,
        List<Target> targets,
        int maxAttempts,
        boolean allowsAnonymous,
        boolean resumable,
        long gapTargetMs) {
    /** Copies the list. */
    public Route {
        targets = List.copyOf(targets);
    }

    /**
     * A service and its share of a route's requests.
     *
     * @param service the service's name
     * @param weight its share, relative to the other targets
     */
    public record Target(String service, int weight) {}

    /** Returns whether a request that may have run may be sent again. */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }
}
