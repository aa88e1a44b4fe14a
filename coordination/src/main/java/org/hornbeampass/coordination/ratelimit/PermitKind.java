package org.hornbeampass.coordination.ratelimit;

/**
 * What a permit covers.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum PermitKind {
    /** A send to an upstream without a limit. */
    UNLIMITED(Long.MAX_VALUE),
    /** A send within the rate limit that an upstream announced. */
    ANNOUNCED_LIMIT(500),
    /**
     * A send to an upstream in its slow start. Short, since permits that are used late add to the
     * largest number of sends in a second.
     */
    SLOW_START(100);

    private final long mValidityMs;

    PermitKind(long validityMs) {
        mValidityMs = validityMs;
    }

    /** Returns how long a permit is valid after it was requested, in milliseconds. */
    long validityMs() {
        return mValidityMs;
    }

    /** Returns whether a permit of this kind suffices where one of another kind is needed. */
    boolean covers(PermitKind needed) {
        return compareTo(needed) >= 0;
    }
}
