package org.hornbeampass.state.config;

/**
 * A kind of work that an organisation may send.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum WorkKind {
    /** A chat completion by a model, which may be repeated. */
    CHAT,
    /** A call to a plain service that may be repeated. */
    SERVICE_REPEATABLE,
    /** A call to a plain service that runs at most once. */
    SERVICE_ONCE
}
