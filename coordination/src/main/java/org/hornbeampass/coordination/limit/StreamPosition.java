package org.hornbeampass.coordination.limit;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

/**
 * The position up to which an answer was delivered to the caller, and the parts accepted next.
 *
 * <p>Invariant: the caller receives each token once and in order, or the stream fails; parts of
 * other attempts are not accepted. Immutable; safe for use by any thread.
 *
 * @param attempt the attempt whose parts are accepted
 * @param delivered the number of tokens delivered to the caller
 */
public record StreamPosition(long attempt, long delivered) {
    /**
     * A part that continues or overlaps the delivered answer.
     *
     * @param skip the number of its leading tokens that were already delivered
     * @param next the position after the part
     */
    public record FittedPart(int skip, StreamPosition next) {}

    /** Returns the position at the start of an attempt's answer. */
    public static StreamPosition start(long attempt) {
        return new StreamPosition(attempt, 0);
    }

    /** Returns the same position for the attempt that resumes the stream. */
    public StreamPosition resumedBy(long newAttempt) {
        return new StreamPosition(newAttempt, delivered);
    }

    /** Returns whether a part belongs to the present attempt; other parts must be dropped. */
    public boolean accepts(long fromAttempt) {
        return fromAttempt == attempt;
    }

    /**
     * Computes which tokens of a part of the present attempt are new.
     *
     * @param offset the number of tokens before the part
     * @param length the number of tokens in it
     * @return the tokens to skip and the next position, or {@code STREAM_BROKEN} if tokens before
     *     the part are missing
     */
    public Either<Failure, FittedPart> fit(long offset, int length) {
        if (offset > delivered) {
            return Either.left(
                    Failure.of(
                            ErrorKind.STREAM_BROKEN,
                            "tokens "
                                    + delivered
                                    + " to "
                                    + (offset - 1)
                                    + " of the answer are missing"));
        }
        long skip = Math.min(length, delivered - offset);
        long deliveredAfter = Math.max(delivered, offset + length);
        return Either.right(
                new FittedPart((int) skip, new StreamPosition(attempt, deliveredAfter)));
    }
}
