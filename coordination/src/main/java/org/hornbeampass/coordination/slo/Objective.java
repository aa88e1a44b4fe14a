package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.RunState;

import java.util.Optional;

/**
 * A service-level objective, which decides whether a request counts and whether it was good.
 *
 * <p>Errors that the caller causes (bad input, unknown keys, its own limits, an exhausted budget)
 * count for no objective. Immutable; safe for use by any thread.
 */
public enum Objective {
    /** The first token arrives within a time limit. */
    FIRST_TOKEN(0, "first token") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            return sample.firstTokenMs().isPresent()
                    ? Optional.of(sample.firstTokenMs().getAsLong() <= thresholdMs)
                    : Optional.empty();
        }
    },
    /** The mean time between an answer's tokens is within a time limit. */
    BETWEEN_TOKENS(1, "between tokens") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            return sample.betweenTokensMs().isPresent()
                    ? Optional.of(sample.betweenTokensMs().getAsLong() <= thresholdMs)
                    : Optional.empty();
        }
    },
    /** A request is not refused because capacity, grants or the platform are unavailable. */
    REFUSALS(2, "refusals") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            return isCallerError(sample)
                    ? Optional.empty()
                    : Optional.of(sample.error().filter(Objective::isRefusal).isEmpty());
        }
    },
    /** An admitted request ends with a complete answer. */
    ERRORS(3, "errors") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            boolean refused = sample.error().filter(Objective::isRefusal).isPresent();
            return refused || isCallerError(sample)
                    ? Optional.empty()
                    : Optional.of(sample.error().isEmpty());
        }
    };

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final int mCountIndex;
    private final String mLabel;

    Objective(int countIndex, String label) {
        mCountIndex = countIndex;
        mLabel = label;
    }

    /** Returns the objective's index among the counts of a bucket, from 0. */
    int countIndex() {
        return mCountIndex;
    }

    /** Returns the name shown to operators. */
    public String label() {
        return mLabel;
    }

    /** Returns whether the objective has a threshold in milliseconds. */
    public boolean hasThreshold() {
        return this == FIRST_TOKEN || this == BETWEEN_TOKENS;
    }

    /**
     * Returns whether a request was good; empty if it does not count for this objective.
     *
     * @param sample the finished request
     * @param thresholdMs the time limit in milliseconds; ignored if the objective has none
     */
    public abstract Optional<Boolean> evaluate(SloSample sample, long thresholdMs);

    private static boolean isRefusal(ErrorKind kind) {
        return kind.httpStatus() >= FIRST_SERVER_ERROR_STATUS
                && kind.runState() == RunState.NOT_RUN;
    }

    private static boolean isCallerError(SloSample sample) {
        return sample.error().filter(k -> k.httpStatus() < FIRST_SERVER_ERROR_STATUS).isPresent();
    }
}
