package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.protocol.admin.RevisionView;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.UpstreamId;

import java.util.function.BiConsumer;

/**
 * What the operators' API needs of the routers' view of each other and of the upstreams.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface FleetPort {
    /** Returns the routers that this router knows of. */
    RouterList routers(long nowMs);

    /** Returns which revision runs where. */
    RevisionView revision(long nowMs);

    /** Orders a router to leave the address answers, finish its requests and stop. */
    void drainRouter(long nowMs, String vmName, BiConsumer<Long, Either<Failure, Drained>> done);

    /** Stops new work to an upstream that is leaving. */
    void drainUpstream(
            long nowMs, UpstreamId upstream, BiConsumer<Long, Either<Failure, Drained>> done);
}
