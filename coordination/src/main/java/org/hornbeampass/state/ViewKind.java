package org.hornbeampass.state;

/**
 * The kinds of objects in the platform's store of which each VM keeps a view.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum ViewKind {
    /** The fleet's configuration. */
    CONFIGURATION("configuration"),
    /** The upstreams' entries. */
    UPSTREAMS("upstreams"),
    /** The failure domains whose upstreams an operator has evacuated. */
    EVACUATIONS("evacuation");

    private final String mLabel;

    ViewKind(String label) {
        mLabel = label;
    }

    /** Returns the name for log lines and metrics. */
    public String label() {
        return mLabel;
    }
}
