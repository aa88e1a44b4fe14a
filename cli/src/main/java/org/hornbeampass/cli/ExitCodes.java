package org.hornbeampass.cli;

/**
 * The exit codes besides those of {@link org.hornbeampass.state.ErrorKind}.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class ExitCodes {
    public static final int OK = 0;

    /** The command line itself is wrong. */
    public static final int USAGE = 2;

    /** The audit found a breach, or an objective burns. */
    public static final int FINDINGS = 11;

    private ExitCodes() {}
}
