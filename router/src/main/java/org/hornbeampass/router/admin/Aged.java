package org.hornbeampass.router.admin;

/**
 * A value that was read, with its age.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param value the value as it was read
 * @param ageMs how long ago the value was last known to be current, in milliseconds
 * @param <T> the type of the value
 */
public record Aged<T>(T value, long ageMs) {
    /** Returns a value that was read just now. */
    public static <T> Aged<T> fresh(T value) {
        return new Aged<>(value, 0);
    }
}
