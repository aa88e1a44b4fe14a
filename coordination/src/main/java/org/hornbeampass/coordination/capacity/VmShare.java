package org.hornbeampass.coordination.capacity;

import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * The share of the fleet's present load that one VM could carry.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param member the VM
 * @param capacity the multiple of the fleet's present load that it could carry alone
 * @param used the fraction of its capacity that is used; above 1 where more is asked for
 */
record VmShare(Member member, double capacity, double used) {
    /** The smallest fraction of the processors that counts as used, so that idle VMs compare. */
    private static final double MIN_PROCESSOR_USE = 0.05;

    /**
     * Returns the shares of VMs. One without a current report counts with the mean utilisation of
     * the others, and with their mean capacity if its own is not known either.
     */
    static List<VmShare> of(List<Member> members, CapacityReports reports) {
        List<CapacityReport.Item> known =
                members.stream()
                        .map(m -> reports.current().get(m.name()))
                        .filter(r -> r != null)
                        .toList();
        if (known.isEmpty()) {
            return members.stream().map(m -> new VmShare(m, 1, 0)).toList();
        }
        Mix mix = Mix.of(known);
        double all = known.stream().mapToDouble(r -> mix.capacity(r.capacity())).sum();
        double load = known.stream().mapToDouble(r -> mix.capacity(r.capacity()) * used(r)).sum();
        List<VmShare> shares = new ArrayList<>(members.size());
        for (Member member : members) {
            double capacity =
                    Optional.ofNullable(reports.capacities().get(member.name()))
                            .map(mix::capacity)
                            .orElse(all / known.size());
            double used =
                    Optional.ofNullable(reports.current().get(member.name()))
                            .map(VmShare::used)
                            .orElse(load / all);
            shares.add(new VmShare(member, capacity, used));
        }
        return shares;
    }

    private static double used(CapacityReport.Item report) {
        return report.utilisation().largest();
    }

    /** Returns the free capacity; negative where more is asked for than the VM can carry. */
    double free() {
        return capacity * (1 - used);
    }

    /** Returns the load that the VM carries. */
    double load() {
        return capacity * used;
    }

    /**
     * How much of each resource the VMs use together, which determines the resource that limits a
     * VM of given capacity under the present load.
     */
    private record Mix(double cores, double linkMbps, double memoryMb) {
        static Mix of(List<CapacityReport.Item> reports) {
            double allCores = sum(reports, r -> r.capacity().cores());
            return new Mix(
                    Math.max(
                            MIN_PROCESSOR_USE * allCores,
                            sum(reports, r -> r.capacity().cores() * r.utilisation().processor())),
                    sum(reports, r -> r.capacity().linkMbps() * r.utilisation().link()),
                    sum(reports, r -> r.capacity().memoryMb() * r.utilisation().memory()));
        }

        private static double sum(
                List<CapacityReport.Item> reports, ToDoubleFunction<CapacityReport.Item> value) {
            return reports.stream().mapToDouble(value).sum();
        }

        double capacity(VmCapacity capacity) {
            double multiple = capacity.cores() / cores;
            if (linkMbps > 0) {
                multiple = Math.min(multiple, capacity.linkMbps() / linkMbps);
            }
            return memoryMb > 0 ? Math.min(multiple, capacity.memoryMb() / memoryMb) : multiple;
        }
    }
}
