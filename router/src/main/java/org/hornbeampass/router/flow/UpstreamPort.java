package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;
import org.hornbeampass.state.UpstreamId;

import java.util.Optional;

/**
 * Gives one request's flow access to the upstreams that the request may be sent to.
 *
 * <p>The port keeps the state that it needs of earlier attempts, such as which upstreams were
 * tried.
 */
public interface UpstreamPort {
    /**
     * Chooses an upstream and sends the request there.
     *
     * @param nowMs the present time in milliseconds
     * @param number the number of the attempt, starting at 1; the attempt's events carry it
     * @param relayed what the caller has already been sent; generation resumes after it
     * @param listener receives the attempt's events
     * @return the attempt, or the reason why no upstream can take the request; in the latter case
     *     nothing was sent
     */
    Either<Failure, Attempt> start(
            long nowMs, int number, RelayProgress relayed, AttemptListener listener);

    /**
     * Decides whether to retry the request after an attempt has failed.
     *
     * @param nowMs the present time in milliseconds
     * @param fault how the attempt failed
     * @param relayed what the caller has been sent so far
     * @return whether and when to start another attempt
     */
    Retry decideRetry(long nowMs, AttemptFault fault, RelayProgress relayed);

    /** Returns the upstream of the most recent attempt; empty if none was chosen. */
    default Optional<UpstreamId> lastUpstream() {
        return Optional.empty();
    }
}
