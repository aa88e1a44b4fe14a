package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.upstream.IntendedState;

import java.util.Objects;

/**
 * The intended state of one upstream, as stored on the platform under {@code orders/<upstream>}.
 *
 * <p>Invariant: the generation grows by one with each write and the fencing number never decreases.
 * Immutable; safe for use by any thread.
 *
 * @param fencing the fencing number of the lease under which it was written
 * @param generation grows by one with each write
 * @param writer the name of the VM that wrote it, for operators
 * @param state the models and adapters to hold ready, and the role
 */
public record StoredOrder(long fencing, long generation, String writer, IntendedState state) {
    /** The prefix of the platform keys of all stored orders. */
    public static final String PREFIX = "orders/";

    /** Checks that no component is null. */
    public StoredOrder {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(state, "state");
    }

    /** Returns whether this order was written after another order for the same upstream. */
    public boolean newerThan(StoredOrder other) {
        return generation > other.generation;
    }
}
