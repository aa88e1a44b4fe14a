package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.transport.relay.CallerConnection;

import java.util.Optional;

/**
 * Takes in no request while as many bytes are held for slow readers as may be; leaves all other
 * decisions to another intake.
 *
 * <p>Confined to one event loop.
 */
final class BufferIntake implements Intake {
    private final BufferLimit mLimit;
    private final RelayLog mLog;
    private final Intake mNext;

    BufferIntake(BufferLimit limit, RelayLog log, Intake next) {
        mLimit = limit;
        mLog = log;
        mNext = next;
    }

    @Override
    public Optional<Failure> refuse(long nowMs, CallerConnection caller, String id, Route route) {
        if (!mLimit.isFull()) {
            return mNext.refuse(nowMs, caller, id, route);
        }
        LogFields fields =
                new LogFields()
                        .add("held_bytes", mLimit.totalBytes())
                        .add("buffer_bytes", mLimit.boundBytes());
        mLog.logDecision(nowMs, id, "refused-buffers-full", fields);
        caller.closeAfterAnswer();
        return Optional.of(Refusals.buffersFull());
    }

    @Override
    public Optional<Failure> refuse(
            long nowMs,
            CallerConnection caller,
            String id,
            Route route,
            Optional<PrepaidOrganisation> organisation) {
        return mNext.refuse(nowMs, caller, id, route, organisation);
    }
}
