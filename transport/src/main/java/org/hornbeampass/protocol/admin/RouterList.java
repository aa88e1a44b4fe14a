package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.VmId;

import java.util.List;

/**
 * The routers that the answering router knows of.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param answeredBy the answering router
 * @param items the routers in the order of their names
 */
public record RouterList(VmId answeredBy, List<RouterView> items) {
    /** Copies the list. */
    public RouterList {
        items = List.copyOf(items);
    }
}
