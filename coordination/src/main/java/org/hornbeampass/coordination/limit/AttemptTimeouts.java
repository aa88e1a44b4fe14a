package org.hornbeampass.coordination.limit;

/**
 * The timeouts of one attempt, after which it is given up for lack of progress.
 *
 * <p>The timeout of the first part is a multiple of the recent time to first token, plus an
 * allowance for the prompt's length; the timeout between parts is a multiple of the recent gap
 * between parts. Both are bounded, and the timeout of the first part leaves half of the time to the
 * deadline for another attempt where it can. While an upstream makes progress in any attempt of
 * this VM, an idle attempt at it is given more time, up to {@link #MAX_STALL_MS}. An attempt whose
 * request may not be repeated ends only at its deadline. Immutable; safe for use by any thread.
 *
 * @param connectMs the timeout for connecting, in milliseconds
 * @param firstPartMs the timeout of the first part, in milliseconds
 * @param idleMs the timeout between parts, in milliseconds
 * @param stallMs the longest idle time while other attempts at the upstream make progress, in
 *     milliseconds
 */
public record AttemptTimeouts(long connectMs, long firstPartMs, long idleMs, long stallMs) {
    static final long MAX_STALL_MS = 20_000;

    private static final double FIRST_PART_RATIO = 8;
    private static final double IDLE_RATIO = 8;
    private static final double ROUND_TRIP_RATIO = 10;
    private static final double PROMPT_TOKEN_MS = 0.1;
    private static final double DEFAULT_FIRST_TOKEN_MS = 600;
    private static final double DEFAULT_GAP_MS = 250;
    private static final long MIN_CONNECT_MS = 300;
    private static final long MAX_CONNECT_MS = 1_500;
    private static final long MIN_FIRST_PART_MS = 1_000;
    private static final long MAX_FIRST_PART_MS = 10_000;
    private static final long MIN_IDLE_MS = 1_000;
    private static final long MAX_IDLE_MS = 10_000;

    /**
     * The estimates available when an attempt is sent.
     *
     * @param firstTokenMs the recent time to first token, in milliseconds; 0 if unknown
     * @param gapMs the recent longest gaps between parts, in milliseconds; 0 if unknown
     * @param roundTripMs the round trip time to the upstream, in milliseconds
     * @param promptTokens the length of the prompt in tokens
     */
    public record Estimates(
            double firstTokenMs, double gapMs, double roundTripMs, long promptTokens) {}

    /** Computes the timeouts of one attempt that is sent now. */
    public static AttemptTimeouts decide(
            long nowMs, Estimates estimates, AnswerKind kind, Deadline deadline) {
        long halfMs = deadline.remainingMs(nowMs) / 2;
        double typicalMs =
                estimates.firstTokenMs() > 0 ? estimates.firstTokenMs() : DEFAULT_FIRST_TOKEN_MS;
        double expectedMs =
                clamp(
                        FIRST_PART_RATIO * typicalMs + PROMPT_TOKEN_MS * estimates.promptTokens(),
                        MIN_FIRST_PART_MS,
                        MAX_FIRST_PART_MS);
        double gapMs = estimates.gapMs() > 0 ? estimates.gapMs() : DEFAULT_GAP_MS;
        long idleMs = clamp(IDLE_RATIO * gapMs, MIN_IDLE_MS, MAX_IDLE_MS);
        long connectMs =
                clamp(ROUND_TRIP_RATIO * estimates.roundTripMs(), MIN_CONNECT_MS, MAX_CONNECT_MS);
        if (kind == AnswerKind.NOT_REPEATABLE) {
            return new AttemptTimeouts(connectMs, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
        }
        return new AttemptTimeouts(
                connectMs,
                Math.min(
                        (long) kind.firstPartTimeoutMs(expectedMs),
                        Math.max(MIN_FIRST_PART_MS, halfMs)),
                idleMs,
                MAX_STALL_MS);
    }

    /**
     * Returns when to give up an attempt if it makes no progress until then, in milliseconds;
     * {@code Long.MAX_VALUE} for never.
     *
     * @param idleSinceMs when the last part was received; before the first part, when the attempt
     *     was sent
     * @param started whether the first part was received
     * @param lastProgressMs when the upstream last made progress in any attempt of this VM; {@code
     *     Long.MIN_VALUE} if it never did
     */
    public long giveUpAtMs(long idleSinceMs, boolean started, long lastProgressMs) {
        long timeoutMs = started ? idleMs : firstPartMs;
        if (timeoutMs == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long extendedUntilMs =
                lastProgressMs == Long.MIN_VALUE ? lastProgressMs : lastProgressMs + idleMs;
        long latestMs = idleSinceMs + Math.max(stallMs, timeoutMs);
        return Math.min(latestMs, Math.max(idleSinceMs + timeoutMs, extendedUntilMs));
    }

    private static long clamp(double value, long min, long max) {
        return Math.max(min, Math.min(max, (long) value));
    }
}
