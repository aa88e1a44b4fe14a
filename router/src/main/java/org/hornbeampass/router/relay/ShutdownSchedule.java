package org.hornbeampass.router.relay;

import java.util.OptionalLong;

/**
 * The phases of a graceful shutdown, as far as its grace period allows them.
 *
 * <p>Invariant: new requests are refused before answers are broken off, and that happens before the
 * process must exit. Immutable.
 *
 * @param acceptUntilMs the time until which new requests are accepted, in milliseconds
 * @param answerUntilMs the time until which upstreams may work on requests, in milliseconds
 * @param exitByMs the time at which the process exits at the latest, in milliseconds
 */
public record ShutdownSchedule(long acceptUntilMs, long answerUntilMs, long exitByMs) {
    /** Callers learn within about two seconds that this VM is leaving. */
    private static final long MAX_ACCEPT_MS = 2_800;

    /** The largest share of the grace period in which new requests are accepted. */
    private static final double MAX_ACCEPT_SHARE = 0.35;

    /** What is left at the end for the last answers and for the return of tokens. */
    private static final long MAX_END_MARGIN_MS = 400;

    private static final double MAX_END_MARGIN_SHARE = 0.1;

    /**
     * Creates the schedule of a shutdown.
     *
     * @param beginMs when it began, in milliseconds
     * @param graceMs after how long the process is killed, in milliseconds
     */
    public static ShutdownSchedule of(long beginMs, long graceMs) {
        long marginMs = atMost(MAX_END_MARGIN_MS, MAX_END_MARGIN_SHARE, graceMs);
        return new ShutdownSchedule(
                beginMs + atMost(MAX_ACCEPT_MS, MAX_ACCEPT_SHARE, graceMs),
                beginMs + graceMs - marginMs,
                beginMs + graceMs - marginMs / 2);
    }

    private static long atMost(long maxMs, double maxShare, long graceMs) {
        return Math.min(maxMs, (long) (maxShare * graceMs));
    }

    /** Returns whether new requests are accepted. */
    public boolean accepts(long nowMs) {
        return nowMs < acceptUntilMs;
    }

    /** Returns whether answers that are not complete must be broken off. */
    public boolean breaksOff(long nowMs) {
        return nowMs >= answerUntilMs;
    }

    /** Returns whether the process must exit. */
    public boolean exits(long nowMs) {
        return nowMs >= exitByMs;
    }

    /**
     * Returns whether a request can be answered before answers are broken off.
     *
     * @param nowMs the present time in milliseconds
     * @param expectedMs how long the answer takes, in milliseconds; if empty, as long as the
     *     requests have that are accepted last
     * @param deadlineMs the time by which the request is answered in any case, in milliseconds
     */
    public boolean canAnswer(long nowMs, OptionalLong expectedMs, long deadlineMs) {
        long takesMs = expectedMs.orElse(answerUntilMs - acceptUntilMs);
        return Math.min(deadlineMs, nowMs + takesMs) <= answerUntilMs;
    }
}
