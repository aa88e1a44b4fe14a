package org.hornbeampass.standin.admin;

/**
 * When a fault strikes, and how hard.
 *
 * <p>The next {@code next} calls are struck first; after them each call is struck with {@code
 * probability}. Immutable; safe for use by any thread.
 *
 * @param probability from 0 (never) to 1 (always)
 * @param next how many of the next calls are struck in any case
 * @param amount how hard, in the unit that the kind of fault states
 */
public record FaultRule(double probability, long next, double amount) {
    /** Checks the bounds. */
    public FaultRule {
        if (!(probability >= 0 && probability <= 1) || next < 0 || !(amount >= 0)) {
            throw new IllegalArgumentException(
                    "fault needs probability in 0..1, next >= 0 and amount >= 0");
        }
    }

    /** Returns a rule that strikes every call. */
    public static FaultRule always(double amount) {
        return new FaultRule(1, 0, amount);
    }

    /** Returns a rule that strikes the next calls only. */
    public static FaultRule next(long calls, double amount) {
        return new FaultRule(0, calls, amount);
    }

    /** Returns a rule that strikes each call with a probability. */
    public static FaultRule withProbability(double probability, double amount) {
        return new FaultRule(probability, 0, amount);
    }

    /** Returns the amount as whole milliseconds or tokens. */
    public long wholeAmount() {
        return Math.round(amount);
    }

    FaultRule afterOne() {
        return new FaultRule(probability, Math.max(0, next - 1), amount);
    }
}
