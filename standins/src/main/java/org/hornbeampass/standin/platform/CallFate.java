package org.hornbeampass.standin.platform;

/**
 * What a fault makes of one call.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param outcome whether the call takes effect and is answered
 * @param delayMs how much later it takes effect, in milliseconds
 */
public record CallFate(Outcome outcome, long delayMs) {
    /** A call that no fault strikes. */
    public static final CallFate UNHARMED = new CallFate(Outcome.ANSWER, 0);

    /** Whether a call takes effect and is answered. */
    public enum Outcome {
        /** Takes effect and is answered. */
        ANSWER,
        /** Has no effect; the caller sees a refused connection. */
        REFUSE,
        /** Has no effect; the caller sees nothing. */
        SILENT,
        /** Takes effect; the caller then sees a broken connection. */
        LOSE_REPLY,
        /** The caller sees a broken connection at once; takes effect afterwards. */
        LATE_EFFECT,
        /** Has no effect; the caller is told of the rate limit. */
        THROTTLE
    }
}
