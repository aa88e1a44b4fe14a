package org.hornbeampass.state.upstream;

/**
 * Tells from where a VM knows that an upstream is leaving.
 *
 * <p>Each kind is enough on its own to stop new work. Immutable; safe for use by any thread.
 */
public enum LeavingEvidence {
    /** The platform's lagging list shows it as leaving, or shows it no more. */
    PLATFORM_LIST("the platform's list"),
    /** The upstream said so itself, in a load report or in an answer. */
    UPSTREAM_REPORT("its own word"),
    /** This VM saw it go, such as by a connection closed with notice. */
    OWN_OBSERVATION("this VM's own connections");

    private final String mDescription;

    LeavingEvidence(String description) {
        mDescription = description;
    }

    /** Returns the source in words, for operators. */
    public String description() {
        return mDescription;
    }
}
