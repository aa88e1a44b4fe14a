package org.hornbeampass.coordination.limit;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

/**
 * Holds how much of an answer the caller has, and fits each further part to it exactly.
 *
 * <p>Invariant: the caller gets each token once and in order, or the stream fails; a part of
 * another attempt never fits. Immutable; safe for use by any thread.
 *
 * @param attempt the attempt whose parts are accepted
 * @param delivered how many tokens the caller has
 */
public record StreamPosition(long attempt, long delivered) {
    /**
     * A part that fits.
     *
     * @param skip how many of its leading tokens the caller has already
     * @param next the position after it
     */
    public record FittedPart(int skip, StreamPosition next) {}

    /** Returns the start of an attempt's answer. */
    public static StreamPosition start(long attempt) {
        return new StreamPosition(attempt, 0);
    }

    /** Returns the same position for the attempt that resumes the stream. */
    public StreamPosition resumedBy(long newAttempt) {
        return new StreamPosition(newAttempt, delivered);
    }

    /** Returns whether a part belongs to the present attempt; one that doesn't is dropped. */
    public boolean accepts(long fromAttempt) {
        return fromAttempt == attempt;
    }

    /**
     * Fits a part of the present attempt.
     *
     * @param offset the number of tokens before the part
     * @param length the number of tokens in it
     * @return how much of it is new, or {@code STREAM_BROKEN} where tokens are missing before it
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
        long reached = Math.max(delivered, offset + length);
        return Either.right(new FittedPart((int) skip, new StreamPosition(attempt, reached)));
    }
}
