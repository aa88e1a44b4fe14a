package org.hornbeampass.experiment.verdict;

/** The kinds of request that callers send. */
public enum RequestKind {
    /** A chat completion. */
    CHAT,
    /** A service call that may run at most once. */
    SERVICE_ONCE,
    /** A service call that may be repeated. */
    SERVICE_REPEATABLE
}
