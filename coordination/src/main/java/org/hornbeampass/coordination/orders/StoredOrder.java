package org.hornbeampass.coordination.orders;

import org.hornbeampass.state.upstream.IntendedState;

import java.util.Objects;

/**
 * The intended state of one upstream, as kept on the platform at {@code orders/<upstream>}.
 *
 * <p>Invariant: generations grow by one with each write and fencing numbers never fall. Immutable;
 * safe for use by any thread.
 *
 * @param fencing the fencing number of the writer's lease
 * @param generation grows by one with each write
 * @param writer the VM that wrote it
 * @param state what the upstream should hold
 */
public record StoredOrder(long fencing, long generation, String writer, IntendedState state) {
    /** The prefix of the keys. */
    public static final String PREFIX = "orders/";

    /** Checks that no part is missing. */
    public StoredOrder {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(state, "state");
    }

    /** Returns whether this order was written later than another one of the same upstream. */
    public boolean newerThan(StoredOrder other) {
        return generation > other.generation;
    }
}
