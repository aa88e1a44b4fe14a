package org.hornbeampass.experiment.run;

import java.util.List;

/**
 * One entry of the timeline.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param atMs when it begins, in milliseconds from the start
 * @param forMs how long it lasts; 0 where it is done at once
 * @param kind what it does
 * @param targets the routers, upstreams or failure domain that it strikes
 * @param others the routers at the other end of cut links
 * @param direction which direction of the links is cut
 * @param organisation whose budget or terms it changes; empty where none
 * @param amount tokens, milliseconds or a probability, as the kind says
 */
public record FaultStep(
        long atMs,
        long forMs,
        FaultKind kind,
        List<String> targets,
        List<String> others,
        Direction direction,
        String organisation,
        double amount) {
    /** Copies the lists. */
    public FaultStep {
        targets = List.copyOf(targets);
        others = List.copyOf(others);
    }

    /** Which direction of links is cut. */
    public enum Direction {
        BOTH,
        /** From the targets to the others. */
        OUT,
        /** From the others to the targets. */
        IN;

        boolean out() {
            return this != IN;
        }

        boolean in() {
            return this != OUT;
        }
    }

    /** Returns the amount as a whole number. */
    public long wholeAmount() {
        return Math.round(amount);
    }

    /** Returns the step as one line. */
    public String describe() {
        String where = targets.isEmpty() ? organisation : String.join(",", targets);
        return kind.name().toLowerCase(java.util.Locale.ROOT) + " " + where;
    }
}
