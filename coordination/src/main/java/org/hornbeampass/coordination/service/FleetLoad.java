package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the other VMs have in progress at each upstream, as they last told.
 *
 * <p>Invariant: a report counts until the next one of the same VM, or until it is {@link #FRESH_MS}
 * old; the sums are those of all reports that count, kept by difference. Confined to one thread.
 */
public final class FleetLoad {
    /**
     * How long a report counts, in milliseconds. Prompts are read within some hundred; a VM that is
     * not heard for longer is cut off or gone, and its share is unknown.
     */
    static final long FRESH_MS = 1_000;

    /** No work of other VMs. */
    private static final Work NONE = new Work(0, 0);

    /**
     * Work in progress at one upstream.
     *
     * @param unreadTokens prompt tokens that are still to be read
     * @param requests requests that are worked on
     */
    record Work(long unreadTokens, int requests) {
        Work plus(InFlightReport.Item item, int sign) {
            return new Work(
                    unreadTokens + sign * item.unreadTokens(), requests + sign * item.requests());
        }
    }

    /**
     * The last report of one VM.
     *
     * @param atMs when it came, in milliseconds
     * @param report what it said
     */
    private record Told(long atMs, InFlightReport report) {}

    private final Map<String, Told> mByVm = new HashMap<>();
    private final Map<String, Work> mByUpstream = new HashMap<>();

    /** Takes a VM's report. */
    public void onReport(long nowMs, String vm, InFlightReport report) {
        Told before = mByVm.put(vm, new Told(nowMs, report));
        if (before != null) {
            count(mByUpstream, before.report(), -1);
        }
        count(mByUpstream, report, 1);
    }

    /** Forgets reports that no longer count. */
    void tick(long nowMs) {
        Iterator<Told> told = mByVm.values().iterator();
        while (told.hasNext()) {
            Told each = told.next();
            if (nowMs - each.atMs() >= FRESH_MS) {
                told.remove();
                count(mByUpstream, each.report(), -1);
            }
        }
    }

    /** Returns how many VMs' work is counted. */
    int vmsHeard() {
        return mByVm.values().stream().mapToInt(t -> t.report().vms()).sum();
    }

    /** Returns whether anything is in progress elsewhere. */
    boolean any() {
        return !mByUpstream.isEmpty();
    }

    /** Returns the other VMs' work at an upstream. */
    Work at(String upstream) {
        return mByUpstream.getOrDefault(upstream, NONE);
    }

    /** Returns all work but one VM's, and this VM's own. */
    InFlightReport sumWithout(String vm, InFlightReport own) {
        Map<String, Work> sum = new HashMap<>(mByUpstream);
        Optional<InFlightReport> without = Optional.ofNullable(mByVm.get(vm)).map(Told::report);
        without.ifPresent(r -> count(sum, r, -1));
        count(sum, own, 1);
        int vms = vmsHeard() - without.map(InFlightReport::vms).orElse(0) + own.vms();
        return report(sum, vms);
    }

    /**
     * Returns the work of some VMs, and this VM's own. A sum that one of them told, since it takes
     * itself for a relay, is left out: two relays of one domain would add up each other's sums.
     */
    InFlightReport sumOf(List<String> vms, InFlightReport own) {
        Map<String, Work> sum = new HashMap<>();
        count(sum, own, 1);
        int heard = own.vms();
        for (String vm : vms) {
            Told told = mByVm.get(vm);
            if (told != null && told.report().vms() == 1) {
                count(sum, told.report(), 1);
                heard++;
            }
        }
        return report(sum, heard);
    }

    private static InFlightReport report(Map<String, Work> sum, int vms) {
        return new InFlightReport(
                sum.entrySet().stream()
                        .map(
                                e ->
                                        new InFlightReport.Item(
                                                e.getKey(),
                                                e.getValue().unreadTokens(),
                                                e.getValue().requests()))
                        .toList(),
                vms);
    }

    /** Adds a report to sums, or takes it out of them; a sum of nothing is left out. */
    private static void count(Map<String, Work> sums, InFlightReport report, int sign) {
        for (InFlightReport.Item item : report.items()) {
            Work sum = sums.getOrDefault(item.upstream(), NONE).plus(item, sign);
            if (sum.equals(NONE)) {
                sums.remove(item.upstream());
            } else {
                sums.put(item.upstream(), sum);
            }
        }
    }
}
