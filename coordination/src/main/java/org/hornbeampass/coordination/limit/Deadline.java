package org.hornbeampass.coordination.limit;

/**
 * The time by which a request must be answered, by this VM's clock.
 *
 * <p>Processes send each other the remaining time rather than a time of day, so their clocks need
 * not agree; the time in transit is not subtracted. Immutable; safe for use by any thread.
 *
 * @param atMs the deadline in milliseconds
 */
public record Deadline(long atMs) {
    /** Returns a deadline that never passes. */
    public static Deadline none() {
        return new Deadline(Long.MAX_VALUE);
    }

    /** Returns the deadline for a remaining time in milliseconds, as received from a caller. */
    public static Deadline after(long nowMs, long remainingMs) {
        long at = nowMs + remainingMs;
        return new Deadline(remainingMs > 0 && at < nowMs ? Long.MAX_VALUE : at);
    }

    /** Returns whether the deadline has passed. */
    public boolean passed(long nowMs) {
        return nowMs >= atMs;
    }

    /**
     * Returns the remaining time in milliseconds, which may be sent to another process; 0 if the
     * deadline has passed.
     */
    public long remainingMs(long nowMs) {
        return atMs == Long.MAX_VALUE ? Long.MAX_VALUE : Math.max(0, atMs - nowMs);
    }

    /** Returns the earlier of two deadlines. */
    public Deadline earlier(Deadline other) {
        return atMs <= other.atMs ? this : other;
    }
}
