package org.hornbeampass.coordination.limit;

/**
 * The time by which a request must be answered, in this VM's clock.
 *
 * <p>Between processes the remaining time travels, not the time of day, so that clocks need not
 * agree; the time on the way is not subtracted. Immutable; safe for use by any thread.
 *
 * @param atMs the deadline in milliseconds
 */
public record Deadline(long atMs) {
    /** Returns a deadline that never passes. */
    public static Deadline none() {
        return new Deadline(Long.MAX_VALUE);
    }

    /** Returns the deadline after a remaining time in milliseconds, as it came from a caller. */
    public static Deadline after(long nowMs, long remainingMs) {
        long at = nowMs + remainingMs;
        return new Deadline(remainingMs > 0 && at < nowMs ? Long.MAX_VALUE : at);
    }

    /** Returns whether the deadline has passed. */
    public boolean passed(long nowMs) {
        return nowMs >= atMs;
    }

    /** Returns the time that is left in milliseconds, to send on; 0 where it has passed. */
    public long remainingMs(long nowMs) {
        return atMs == Long.MAX_VALUE ? Long.MAX_VALUE : Math.max(0, atMs - nowMs);
    }

    /** Returns the earlier of two deadlines. */
    public Deadline earlier(Deadline other) {
        return atMs <= other.atMs ? this : other;
    }
}
