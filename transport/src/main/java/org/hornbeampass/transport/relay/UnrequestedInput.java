package org.hornbeampass.transport.relay;

/**
 * Where on a connection to an upstream input was found that no request asked for.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum UnrequestedInput {
    /** An answer to another request came before the one that is awaited. */
    BEFORE_ANSWER("before-answer"),
    /** Bytes were read together with the end of an answer. */
    AFTER_ANSWER("after-answer"),
    /** Another answer came in place of the end of the connection, which ends the one before it. */
    IN_UNFRAMED_ANSWER("in-unframed-answer"),
    /** Bytes were read while the connection was idle. */
    IDLE("idle");

    private final String mLogName;

    UnrequestedInput(String logName) {
        mLogName = logName;
    }

    /** Returns its name in logs and metrics. */
    public String logName() {
        return mLogName;
    }
}
