package org.hornbeampass.experiment.demo;

import org.hornbeampass.experiment.fleet.Operator;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * Compares what was billed with what was received, organisation by organisation.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param lines one line for each organisation
 */
record DemoReport(List<Line> lines) {
    /** One organisation's line. */
    record Line(String organisation, DemoTally.Line received, long billedTokens) {
        boolean agrees() {
            return received.wrong() == 0
                    && received.served() > 0
                    && received.tokens() == billedTokens;
        }
    }

    /** Copies the list. */
    DemoReport {
        lines = List.copyOf(lines);
    }

    /** Reads the bills of all organisations as an operator does. */
    static DemoReport of(Operator operator, List<DemoOrganisation> all, DemoTally tally) {
        List<Line> lines = new ArrayList<>();
        for (DemoOrganisation each : all) {
            lines.add(
                    new Line(
                            each.name(),
                            tally.line(each.name()),
                            operator.billedTokens(each.name())));
        }
        return new DemoReport(lines);
    }

    /** Returns whether each bill equals what was received, and each answer was the caller's own. */
    boolean agrees() {
        return lines.stream().allMatch(Line::agrees);
    }

    /** Prints the comparison as a table. */
    void print(PrintWriter out) {
        out.printf(
                "%-14s %8s %8s %6s %12s %12s  %s%n",
                "organisation", "served", "refused", "wrong", "received", "billed", "verdict");
        for (Line each : lines) {
            DemoTally.Line got = each.received();
            out.printf(
                    "%-14s %8d %8d %6d %12d %12d  %s%n",
                    each.organisation(),
                    got.served(),
                    got.refused(),
                    got.wrong(),
                    got.tokens(),
                    each.billedTokens(),
                    each.agrees() ? "equal" : "NOT EQUAL");
        }
    }
}
