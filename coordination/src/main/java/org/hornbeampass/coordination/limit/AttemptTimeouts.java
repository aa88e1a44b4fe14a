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
 * @param firstMs the patience for the first part, in milliseconds
 * @param silenceMs the patience between parts, in milliseconds
 * @param stallMs the longest silence that progress elsewhere at the upstream excuses, in
 *     milliseconds
 */
public record AttemptTimeouts(long connectMs, long firstMs, long silenceMs, long stallMs) {
    static final long MAX_STALL_MS = 20_000;

    private static final double FIRST_RATIO = 8;
    private static final double SILENCE_RATIO = 8;
    private static final double ROUND_TRIP_RATIO = 10;
    private static final double PROMPT_TOKEN_MS = 0.1;
    private static final double UNKNOWN_FIRST_MS = 600;
    private static final double UNKNOWN_GAP_MS = 250;
    private static final long MIN_CONNECT_MS = 300;
    private static final long MAX_CONNECT_MS = 1_500;
    private static final long MIN_FIRST_MS = 1_000;
    private static final long MAX_FIRST_MS = 10_000;
    private static final long MIN_SILENCE_MS = 1_000;
    private static final long MAX_SILENCE_MS = 10_000;

    /**
     * What is known when an attempt is sent.
     *
     * @param firstTokenMs the recent time to first token, in milliseconds; 0 where unknown
     * @param gapMs the recent longest gaps between parts, in milliseconds; 0 where unknown
     * @param roundTripMs the round trip to the upstream, in milliseconds
     * @param promptTokens the prompt's length
     */
    public record Known(double firstTokenMs, double gapMs, double roundTripMs, long promptTokens) {}

    /** Decides the timeouts of one attempt that is sent now. */
    public static AttemptTimeouts decide(
            long nowMs, Known known, AnswerKind kind, Deadline deadline) {
        long half = deadline.remainingMs(nowMs) / 2;
        double typicalMs = known.firstTokenMs() > 0 ? known.firstTokenMs() : UNKNOWN_FIRST_MS;
        double expectedMs =
                clamp(
                        FIRST_RATIO * typicalMs + PROMPT_TOKEN_MS * known.promptTokens(),
                        MIN_FIRST_MS,
                        MAX_FIRST_MS);
        double gapMs = known.gapMs() > 0 ? known.gapMs() : UNKNOWN_GAP_MS;
        long silenceMs = clamp(SILENCE_RATIO * gapMs, MIN_SILENCE_MS, MAX_SILENCE_MS);
        long connectMs =
                clamp(ROUND_TRIP_RATIO * known.roundTripMs(), MIN_CONNECT_MS, MAX_CONNECT_MS);
        if (kind == AnswerKind.ONCE) {
            return new AttemptTimeouts(connectMs, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
        }
        return new AttemptTimeouts(
                connectMs,
                Math.min((long) kind.firstMs(expectedMs), Math.max(MIN_FIRST_MS, half)),
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
        long patienceMs = begun ? silenceMs : firstMs;
        if (patienceMs == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long aliveUntilMs = progressMs == Long.MIN_VALUE ? progressMs : progressMs + silenceMs;
        long boundMs = quietSinceMs + Math.max(stallMs, patienceMs);
        return Math.min(boundMs, Math.max(quietSinceMs + patienceMs, aliveUntilMs));
    }

    private static long clamp(double value, long least, long most) {
        return Math.max(least, Math.min(most, (long) value));
    }
}
