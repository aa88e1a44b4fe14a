package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.ClaimOutcome;

import java.util.function.Predicate;

/**
 * Turns the log's decision on a claim into what the claiming VM is told.
 *
 * <p>Thread-safe: holds no state.
 */
final class ClaimOutcomeMapper {
    private ClaimOutcomeMapper() {}

    /**
     * Returns the answer.
     *
     * @param decision the log's decision
     * @param provedGone whether a VM's life is proved to be over
     */
    static Either<Failure, ClaimOutcome> toOutcome(
            EntryDecision decision, Predicate<VmId> provedGone) {
        return switch (decision.kind()) {
            case GRANTED -> success(ClaimOutcome.Status.GRANTED);
            case HELD ->
                    success(
                            decision.holder().filter(provedGone).isPresent()
                                    ? ClaimOutcome.Status.OUTCOME_UNKNOWN
                                    : ClaimOutcome.Status.RUNNING);
            case RECORDED -> Either.right(ClaimOutcome.recorded(decision.outcome().orElseThrow()));
            case KEY_REUSED -> success(ClaimOutcome.Status.KEY_REUSED);
            case EXPIRED -> success(ClaimOutcome.Status.EXPIRED);
            case FULL ->
                    Either.left(
                            Failure.of(
                                    ErrorKind.OVERLOADED,
                                    "too many keys without a time are kept; use a key that carries"
                                            + " its time"));
            default ->
                    Either.left(
                            Failure.of(
                                    ErrorKind.PLATFORM_UNAVAILABLE,
                                    "the claim was given up; the call did not run"));
        };
    }

    private static Either<Failure, ClaimOutcome> success(ClaimOutcome.Status status) {
        return Either.right(ClaimOutcome.of(status));
    }
}
