package org.hornbeampass.state.upstream;

/**
 * Tells from where a VM knows that an upstream is leaving.
 *
 * <p>Each kind is enough on its own to stop new work. Immutable; safe for use by any thread.
 */
public enum LeavingEvidence {
    /** The platform's lagging list marks it as leaving or no longer has it. */
    PLATFORM_LIST("the platform's list"),
    /** The upstream reported it in a load report or in a response. */
    UPSTREAM_REPORT("its own report"),
    /** This VM observed it, such as by a connection closed with notice. */
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
