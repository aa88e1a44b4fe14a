package org.hornbeampass.protocol.admin;

import org.hornbeampass.state.VmId;

import java.util.List;

/**
 * Which revision of the configuration runs where.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param answeredBy the answering router
 * @param revision the newest revision that the answering router knows of
 * @param everywhere the newest revision that every live router runs
 * @param routers the routers in the order of their names
 */
public record RevisionView(
        VmId answeredBy, long revision, long everywhere, List<RouterRevision> routers) {
    /** Copies the list. */
    public RevisionView {
        routers = List.copyOf(routers);
    }

    /**
     * The revision that one router runs.
     *
     * @param vm the router
     * @param revision the newest revision that it is known to run
     */
    public record RouterRevision(VmId vm, long revision) {}
}
