package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.Reservation;

import java.util.function.BiConsumer;

/**
 * A request that waits for a grant.
 *
 * @param request the request
 * @param tokens what it wants to reserve
 * @param deadlineMs when it is refused at the latest
 * @param done takes the outcome, exactly once
 */
record Waiter(
        RequestId request,
        long tokens,
        long deadlineMs,
        BiConsumer<Long, Either<Failure, Reservation>> done) {}
