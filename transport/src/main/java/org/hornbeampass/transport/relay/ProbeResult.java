package org.hornbeampass.transport.relay;

/**
 * What became of a connection that was opened to see whether anything listens at an address.
 *
 * <p>Immutable; safe for use by any thread.
 */
public enum ProbeResult {
    /** It opened and stayed open. */
    OPEN,
    /** It opened and was closed at the other end, as by a process that is exiting. */
    DROPPED,
    /** It could not be opened. */
    REFUSED
}
