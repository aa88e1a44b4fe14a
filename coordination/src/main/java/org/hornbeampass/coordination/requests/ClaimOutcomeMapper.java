package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.ClaimOutcome;

import java.util.function.Predicate;

/**
 * Maps the log's decision on a claim to the outcome that is returned to the claiming VM.
 *
 * <p>Thread-safe: holds no state.
 */
final class ClaimOutcomeMapper {
    private ClaimOutcomeMapper() {}

    /**
     * Returns the outcome of a claim, or a failure if the call did not run and will not run by this
     * attempt.
     *
     * @param decision the log's decision
     * @param isGone whether a VM's incarnation is known to have ended
     */
    static Either<Failure, ClaimOutcome> toOutcome(EntryDecision decision, Predicate<VmId> isGone) {
        return switch (decision.kind()) {
            case GRANTED -> success(ClaimOutcome.Status.GRANTED);
            case HELD ->
                    success(
                            decision.holder().filter(isGone).isPresent()
                                    ? ClaimOutcome.Status.OUTCOME_UNKNOWN
                                    : ClaimOutcome.Status.RUNNING);
            case RECORDED -> Either.right(ClaimOutcome.recorded(decision.outcome().orElseThrow()));
            case KEY_REUSED -> success(ClaimOutcome.Status.KEY_REUSED);
            case EXPIRED -> success(ClaimOutcome.Status.EXPIRED);
            case FULL ->
                    Either.left(
                            Failure.of(
                                    ErrorKind.OVERLOADED,
                                    "too many keys without a timestamp are stored; use a key with"
                                            + " a timestamp"));
            default ->
                    Either.left(
                            Failure.of(
                                    ErrorKind.PLATFORM_UNAVAILABLE,
                                    "the claim was withdrawn; the call did not run"));
        };
    }

    private static Either<Failure, ClaimOutcome> success(ClaimOutcome.Status status) {
        return Either.right(ClaimOutcome.of(status));
    }
}
