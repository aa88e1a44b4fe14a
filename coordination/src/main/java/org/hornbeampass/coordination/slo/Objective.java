package org.hornbeampass.coordination.slo;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.RunState;

import java.util.Optional;

/**
 * What is promised of requests; each decides whether a request counts, and whether it was good.
 *
 * <p>Faults of the caller (bad input, unknown keys, its own limits, a budget that is used up) count
 * for no objective. Immutable; safe for use by any thread.
 */
public enum Objective {
    /** The first token comes within a time. */
    FIRST_TOKEN(0, "first token") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            return sample.firstTokenMs().isPresent()
                    ? Optional.of(sample.firstTokenMs().getAsLong() <= thresholdMs)
                    : Optional.empty();
        }
    },
    /** The mean time between an answer's tokens is within a time. */
    BETWEEN_TOKENS(1, "between tokens") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            return sample.betweenTokensMs().isPresent()
                    ? Optional.of(sample.betweenTokensMs().getAsLong() <= thresholdMs)
                    : Optional.empty();
        }
    },
    /** A request is not refused for want of capacity, grants or platform. */
    REFUSALS(2, "refusals") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            return callersFault(sample)
                    ? Optional.empty()
                    : Optional.of(sample.error().filter(Objective::refusal).isEmpty());
        }
    },
    /** A request that was let in ends with a whole answer. */
    ERRORS(3, "errors") {
        @Override
        public Optional<Boolean> evaluate(SloSample sample, long thresholdMs) {
            boolean refused = sample.error().filter(Objective::refusal).isPresent();
            return refused || callersFault(sample)
                    ? Optional.empty()
                    : Optional.of(sample.error().isEmpty());
        }
    };

    private static final int FIRST_OWN_FAULT = 500;

    private final int mCell;
    private final String mLabel;

    Objective(int cell, String label) {
        mCell = cell;
        mLabel = label;
    }

    /** Returns the objective's place among the counts of a bucket, from 0. */
    int countIndex() {
        return mCell;
    }

    /** Returns the name for people. */
    public String label() {
        return mLabel;
    }

    /** Returns whether the objective has a threshold in milliseconds. */
    public boolean hasThreshold() {
        return this == FIRST_TOKEN || this == BETWEEN_TOKENS;
    }

    /**
     * Returns whether a request was good; empty where it does not count.
     *
     * @param sample the request
     * @param thresholdMs the time that is promised, where the objective has one
     */
    public abstract Optional<Boolean> evaluate(SloSample sample, long thresholdMs);

    private static boolean refusal(ErrorKind kind) {
        return kind.httpStatus() >= FIRST_OWN_FAULT && kind.runState() == RunState.NOT_RUN;
    }

    private static boolean callersFault(SloSample sample) {
        return sample.error().filter(k -> k.httpStatus() < FIRST_OWN_FAULT).isPresent();
    }
}
