package org.hornbeampass.experiment.membership;

import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.member.MemberState;

import java.util.ArrayList;
import java.util.List;

/**
 * Measures how long a VM that died without a word stays in the other VMs' views and answers.
 *
 * <p>Arguments: VMs, deaths, seed. A VM is out of a VM's answers once it is not live in its view.
 * One thread.
 */
public final class DetectionTime {
    private static final long STEP_MS = 100;
    private static final long LIMIT_MS = 60_000;

    private DetectionTime() {}

    /** Prints a line of figures. */
    public static void main(String[] args) {
        int size = args.length > 0 ? Integer.parseInt(args[0]) : 390;
        int deaths = args.length > 1 ? Integer.parseInt(args[1]) : 10;
        long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
        SimulatedFleet fleet = SimulatedFleet.settled(size, seed);
        List<Double> first = new ArrayList<>();
        List<Double> answers = new ArrayList<>();
        List<Double> views = new ArrayList<>();
        for (int i = 0; i < deaths; i++) {
            SimulatedRouter victim = fleet.anyRouter();
            fleet.kill(victim.name());
            measure(fleet, victim, first, answers, views);
            fleet.start(Integer.parseInt(victim.name().substring(3)));
            fleet.mEvents.runFor(30_000);
        }
        Figures.print(
                "%d VMs, %d deaths, seconds median/worst: suspected first %.1f/%.1f, out of all"
                        + " answers %.1f/%.1f, gone in all views %.1f/%.1f",
                size,
                deaths,
                Figures.median(first),
                Figures.worst(first),
                Figures.median(answers),
                Figures.worst(answers),
                Figures.median(views),
                Figures.worst(views));
    }

    private static void measure(
            SimulatedFleet fleet,
            SimulatedRouter victim,
            List<Double> first,
            List<Double> answers,
            List<Double> views) {
        VmId vm = victim.mSelf.vm();
        double firstS = Double.NaN;
        double answersS = Double.NaN;
        for (long ms = 0; ms < LIMIT_MS; ms += STEP_MS) {
            double seconds = ms / 1e3;
            if (Double.isNaN(firstS) && fleet.running().stream().anyMatch(r -> !live(r, vm))) {
                firstS = seconds;
            }
            if (Double.isNaN(answersS) && fleet.running().stream().noneMatch(r -> live(r, vm))) {
                answersS = seconds;
            }
            if (fleet.running().stream().allMatch(r -> gone(r, vm))) {
                first.add(firstS);
                answers.add(answersS);
                views.add(seconds);
                return;
            }
            fleet.mEvents.runFor(STEP_MS);
        }
        throw new IllegalStateException(vm + " is not gone everywhere after a minute");
    }

    private static boolean live(SimulatedRouter router, VmId vm) {
        return state(router, vm) == MemberState.LIVE;
    }

    private static boolean gone(SimulatedRouter router, VmId vm) {
        return state(router, vm) == MemberState.GONE;
    }

    private static MemberState state(SimulatedRouter router, VmId vm) {
        return router.mMembership
                .view()
                .member(vm.name())
                .map(Member::state)
                .orElse(MemberState.GONE);
    }
}
