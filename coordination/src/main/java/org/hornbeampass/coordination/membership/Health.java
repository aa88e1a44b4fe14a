package org.hornbeampass.coordination.membership;

/**
 * What is rumoured of an incarnation at one value of its counter, from weakest to strongest.
 *
 * <p>Of two rumours with the same counter the stronger one wins. Immutable; thread-safe.
 */
enum Health {
    LIVE(0),
    SUSPECT(1),
    GONE(2);

    private final int mCode;

    Health(int code) {
        mCode = code;
    }

    /** Returns the stable number that stands for this value in messages. */
    int code() {
        return mCode;
    }

    /** Returns the value that a number stands for; {@link #GONE} for all greater numbers. */
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
