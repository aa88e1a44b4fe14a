package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.protocol.admin.Drained;
import org.hornbeampass.protocol.admin.RevisionView;
import org.hornbeampass.protocol.admin.RouterList;
import org.hornbeampass.state.Failure;

import java.util.function.BiConsumer;

/**
 * What the operators' API needs of the routers' view of each other.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface FleetPort {
    /** Returns the routers that this router knows of. */
    RouterList routers(long nowMs);

    /** Returns which revision runs where; 0 for a router that nothing was heard of. */
    RevisionView revision(long nowMs);

    /** Orders a router to leave the address answers, finish its requests and stop. */
    void drainRouter(
            long nowMs,
            String vmName,
            String operator,
            BiConsumer<Long, Either<Failure, Drained>> done);
}
