package org.hornbeampass.experiment.verdict;

/**
 * A stretch of time in which something was done to a router or an upstream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param subject the router's VM name, or the upstream's name
 * @param address where callers reached the router; empty for an upstream
 * @param fromMs its first millisecond
 * @param untilMs the first millisecond after it
 */
public record Span(String subject, String address, long fromMs, long untilMs) {
    /** Returns whether a time lies in the span. */
    public boolean holds(long atMs) {
        return atMs >= fromMs && atMs < untilMs;
    }
}
