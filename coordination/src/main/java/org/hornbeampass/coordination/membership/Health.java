package org.hornbeampass.coordination.membership;

/**
 * Health that is reported of an incarnation at one value of its counter, from weakest to strongest.
 *
 * <p>Of two reports with the same counter the stronger one applies. Immutable; thread-safe.
 */
enum Health {
    LIVE(0),
    SUSPECT(1),
    GONE(2);

    private final int mCode;

    Health(int code) {
        mCode = code;
    }

    /** Returns the stable number that encodes this value in messages. */
    int code() {
        return mCode;
    }

    /** Returns the value with a code; {@link #GONE} for an unknown code. */
    static Health fromCode(int code) {
        return switch (code) {
            case 0 -> LIVE;
            case 1 -> SUSPECT;
            default -> GONE;
        };
    }

    boolean overrides(Health other) {
        return mCode > other.mCode;
    }
}
