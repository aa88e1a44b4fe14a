package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.protocol.admin.RevisionView;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.state.Failure;

import java.util.function.BiConsumer;

/**
 * Reports the routers known to this one, and drains them, for the operators' API.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface FleetPort {
    /** Returns the routers that this router knows of. */
    RouterList routers(long nowMs);

    /** Returns the revision that each router has applied; 0 for a router that sent no report. */
    RevisionView revision(long nowMs);

    /** Orders a router to drop out of address answers, finish its requests in flight and stop. */
    void drainRouter(
            long nowMs,
            String vmName,
            String operator,
            BiConsumer<Long, Either<Failure, Drained>> done);
}
