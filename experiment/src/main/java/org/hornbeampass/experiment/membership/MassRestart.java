package org.hornbeampass.experiment.membership;

import java.util.List;

/**
 * Measures a failure domain's VMs that all die at once and all start again half a minute later: how
 * long until all views agree, and what the VM that sends and receives most spends meanwhile.
 *
 * <p>Arguments: VMs, seed. One thread.
 */
public final class MassRestart {
    private static final long STEP_MS = 500;
    private static final long WINDOW_MS = 10_000;
    private static final long LIMIT_MS = 50_000;
    private static final long DOWN_MS = 30_000;

    private MassRestart() {}

    /** Prints the figures of the deaths and of the starts. */
    public static void main(String[] args) {
        int size = args.length > 0 ? Integer.parseInt(args[0]) : 390;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        SimulatedFleet fleet = SimulatedFleet.settled(size, seed);
        List<String> rack =
                fleet.running().stream()
                        .filter(r -> r.mSelf.domain().value().equals("domain-1"))
                        .map(SimulatedRouter::name)
                        .toList();
        rack.forEach(fleet::kill);
        report(fleet, rack.size() + " deaths", size - rack.size());
        fleet.mEvents.runFor(DOWN_MS);
        rack.forEach(name -> fleet.start(Integer.parseInt(name.substring(3))));
        report(fleet, rack.size() + " starts", size);
    }

    private static void report(SimulatedFleet fleet, String name, int live) {
        double agreed = Double.NaN;
        TrafficWindow heaviest = null;
        double worst = 0;
        for (long ms = 0; ms < LIMIT_MS; ms += WINDOW_MS) {
            TrafficWindow window = new TrafficWindow(List.copyOf(fleet.running()));
            for (long part = 0; part < WINDOW_MS; part += STEP_MS) {
                fleet.mEvents.runFor(STEP_MS);
                if (Double.isNaN(agreed) && agree(fleet, live)) {
                    agreed = (ms + part + STEP_MS) / 1e3;
                }
            }
            window.close(WINDOW_MS);
            worst = Math.max(worst, window.worst());
            if (heaviest == null || window.mean() > heaviest.mean()) {
                heaviest = window;
            }
        }
        Figures.print(
                "%s: views agree after %.1f s; B/s per VM sent and received over 10 s:"
                        + " highest mean %.0f, highest of one VM %.0f",
                name, agreed, heaviest.mean(), worst);
        Figures.print("  mean by kind: %s", heaviest.meanByKind());
        Figures.print("  worst VM by kind: %s", heaviest.worstByKind());
    }

    private static boolean agree(SimulatedFleet fleet, int live) {
        return fleet.running().stream().allMatch(r -> r.mMembership.view().live().size() == live);
    }
}
