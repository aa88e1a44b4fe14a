package org.hornbeampass.router.relay;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.transport.relay.CallerConnection;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Takes in requests by how late the event loop is, without regard to their urgency.
 *
 * <p>Confined to one event loop.
 */
final class LoopDelayIntake implements Intake {
    private final LongSupplier mLoopDelayMs;

    LoopDelayIntake(LongSupplier loopDelayMs) {
        mLoopDelayMs = loopDelayMs;
    }

    @Override
    public Optional<Failure> refuse(long nowMs, CallerConnection caller, String id, Route route) {
        return IntakeGate.admits(route, mLoopDelayMs.getAsLong())
                ? Optional.empty()
                : Optional.of(Refusals.overloaded());
    }

    @Override
    public Optional<Failure> refuse(
            long nowMs,
            CallerConnection caller,
            String id,
            Route route,
            Optional<PrepaidOrganisation> organisation) {
        return Optional.empty();
    }
}
