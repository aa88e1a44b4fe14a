package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.UpstreamId;

import java.util.Optional;

/**
 * The upstreams that one request may go to, as its flow sees them.
 *
 * <p>The port keeps what it needs of earlier attempts, such as which upstreams were tried.
 */
public interface UpstreamPort {
    /**
     * Chooses an upstream and sends the request there.
     *
     * @param nowMs the present time in milliseconds
     * @param number the attempt's number, from 1; its events carry it
     * @param relayed what the caller has already been sent, where generation is to go on
     * @param listener told of the attempt's events
     * @return the attempt, whose events follow, or why no upstream can take it; then nothing was
     *     sent
     */
    Either<Failure, Attempt> start(
            long nowMs, int number, RelayProgress relayed, AttemptListener listener);

    /**
     * Decides what to do after an attempt has failed.
     *
     * @param nowMs the present time in milliseconds
     * @param fault how it failed
     * @param relayed what the caller has been sent so far
     * @return whether and when to try again
     */
    Retry decideRetry(long nowMs, AttemptFault fault, RelayProgress relayed);

    /** Returns the upstream of the newest attempt; empty where none was chosen. */
    default Optional<UpstreamId> lastUpstream() {
        return Optional.empty();
    }
}
