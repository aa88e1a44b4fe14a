package org.hornbeampass.coordination.budget;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RequestId;
import org.hornbeampass.state.budget.Reservation;

import java.util.function.BiConsumer;

/**
 * A request that waits for tokens.
 *
 * @param request the request
 * @param tokens the tokens to reserve
 * @param deadlineMs the time in milliseconds at which the request is refused
 * @param done receives the reservation or an error, exactly once
 */
record Waiter(
        RequestId request,
        long tokens,
        long deadlineMs,
        BiConsumer<Long, Either<Failure, Reservation>> done) {}
