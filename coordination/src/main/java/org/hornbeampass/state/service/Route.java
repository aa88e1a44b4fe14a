package org.hornbeampass.state.service;

import java.util.List;

/**
 * The services, limits and objectives for the requests of one host and path prefix.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the name, for logs and metrics
 * @param host the host that callers request, in lower case
 * @param pathPrefix the prefix of the paths, with a slash at both ends
 * @param kind whether requests may be repeated and how they are answered
 * @param timeoutMs how long a request may take, in milliseconds
 * @param objectiveMs the time within which an answer meets the objective, in milliseconds
 * @param priority the priority of its requests; 0 is the most urgent
 * @param targets the services that share the requests
 * @param maxAttempts the maximum number of upstreams that one request is sent to
 * @param allowsAnonymous whether requests without an API key are accepted
 * @param resumable whether a stream may be resumed at another upstream
 * @param gapTargetMs the longest gap between events of an answer that meets the objective, in
 *     milliseconds; 0 if there are no events
 * @param homes the regions in which its requests may run
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
        long gapTargetMs,
        HomeRegions homes) {
    /** Creates a route whose requests may run in any region. */
    public Route(
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
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMs,
                objectiveMs,
                priority,
                targets,
                maxAttempts,
                allowsAnonymous,
                resumable,
                gapTargetMs,
                HomeRegions.ANY);
    }

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
