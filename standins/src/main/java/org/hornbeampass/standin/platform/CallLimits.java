package org.hornbeampass.standin.platform;

/**
 * How many calls a second the platform takes.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param readsPerSecond reads and watches together; a watch counts as one however long it waits
 * @param writesPerSecond writes
 */
public record CallLimits(int readsPerSecond, int writesPerSecond) {
    /** Returns 2000 reads and 400 writes a second. */
    public static CallLimits defaults() {
        return new CallLimits(2_000, 400);
    }

    /** Returns limits that no test reaches. */
    public static CallLimits none() {
        return new CallLimits(1_000_000, 1_000_000);
    }
}
