package org.hornbeampass.coordination.limit;

/**
 * Decides for how long an attempt may be silent before it is given up.
 *
 * <p>The patience for the first part is a multiple of the recent time to first token, and more for
 * a long prompt; the patience between parts is a multiple of the recent gap. Both are bounded, and
 * leave half of the time to the deadline to another attempt. An upstream that has shown progress in
 * any attempt of this VM is alive, so a quiet attempt there is excused, but not beyond {@link
 * #MAX_STALL_MS}. An attempt whose request may not be repeated is left to its deadline. Immutable;
 * safe for use by any thread.
 *
 * @param connectMs how long the connection may take, in milliseconds
 * @param firstPartMs the patience for the first part, in milliseconds
 * @param idleMs the patience between parts, in milliseconds
 * @param stallMs the longest silence that progress elsewhere at the upstream excuses, in
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
     * What is known when an attempt is sent.
     *
     * @param firstTokenMs the recent time to first token, in milliseconds; 0 where unknown
     * @param gapMs the recent longest gaps between parts, in milliseconds; 0 where unknown
     * @param roundTripMs the round trip to the upstream, in milliseconds
     * @param promptTokens the prompt's length
     */
    public record Estimates(
            double firstTokenMs, double gapMs, double roundTripMs, long promptTokens) {}

    /** Decides the timeouts of one attempt that is sent now. */
    public static AttemptTimeouts decide(
            long nowMs, Estimates known, AnswerKind kind, Deadline deadline) {
        long half = deadline.remainingMs(nowMs) / 2;
        double typicalMs = known.firstTokenMs() > 0 ? known.firstTokenMs() : DEFAULT_FIRST_TOKEN_MS;
        double expectedMs =
                clamp(
                        FIRST_PART_RATIO * typicalMs + PROMPT_TOKEN_MS * known.promptTokens(),
                        MIN_FIRST_PART_MS,
                        MAX_FIRST_PART_MS);
        double gapMs = known.gapMs() > 0 ? known.gapMs() : DEFAULT_GAP_MS;
        long silenceMs = clamp(IDLE_RATIO * gapMs, MIN_IDLE_MS, MAX_IDLE_MS);
        long connectMs =
                clamp(ROUND_TRIP_RATIO * known.roundTripMs(), MIN_CONNECT_MS, MAX_CONNECT_MS);
        if (kind == AnswerKind.NOT_REPEATABLE) {
            return new AttemptTimeouts(connectMs, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
        }
        return new AttemptTimeouts(
                connectMs,
                Math.min(
                        (long) kind.firstPartTimeoutMs(expectedMs),
                        Math.max(MIN_FIRST_PART_MS, half)),
                silenceMs,
                MAX_STALL_MS);
    }

    /**
     * Returns when an attempt is to be given up if nothing happens until then; {@code
     * Long.MAX_VALUE} for never.
     *
     * @param quietSinceMs when its last part came; before the first, when it was sent
     * @param begun whether its first part came
     * @param progressMs when the upstream last showed progress in any attempt of this VM; {@code
     *     Long.MIN_VALUE} where it never did
     */
    public long giveUpAtMs(long quietSinceMs, boolean begun, long progressMs) {
        long patienceMs = begun ? idleMs : firstPartMs;
        if (patienceMs == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long aliveUntilMs = progressMs == Long.MIN_VALUE ? progressMs : progressMs + idleMs;
        long boundMs = quietSinceMs + Math.max(stallMs, patienceMs);
        return Math.min(boundMs, Math.max(quietSinceMs + patienceMs, aliveUntilMs));
    }

    private static long clamp(double value, long least, long most) {
        return Math.max(least, Math.min(most, (long) value));
    }
}
