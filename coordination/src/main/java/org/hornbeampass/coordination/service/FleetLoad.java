package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the other VMs have in progress at each upstream, as they last told.
 *
 * <p>Invariant: a report counts until the next one of the same VM, or until it is {@link
 * #REPORT_TTL_MS} old; the sums are those of all reports that count, kept by difference. Confined
 * to one thread.
 */
public final class FleetLoad {
    /**
     * How long a report counts, in milliseconds. Prompts are read within some hundred; a VM that is
     * not heard for longer is cut off or gone, and its share is unknown.
     */
    static final long REPORT_TTL_MS = 1_000;

    /** No work of other VMs. */
    private static final Work NO_WORK = new Work(0, 0);

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
     * @param receivedAtMs when it came, in milliseconds
     * @param report what it said
     */
    private record LastReport(long receivedAtMs, InFlightReport report) {}

    private final Map<String, LastReport> mReportsByVm = new HashMap<>();
    private final Map<String, Work> mWorkByUpstream = new HashMap<>();

    /** Takes a VM's report. */
    public void onReport(long nowMs, String vm, InFlightReport report) {
        LastReport previous = mReportsByVm.put(vm, new LastReport(nowMs, report));
        if (previous != null) {
            accumulate(mWorkByUpstream, previous.report(), -1);
        }
        accumulate(mWorkByUpstream, report, 1);
    }

    /** Forgets reports that no longer count. */
    void tick(long nowMs) {
        Iterator<LastReport> reports = mReportsByVm.values().iterator();
        while (reports.hasNext()) {
            LastReport report = reports.next();
            if (nowMs - report.receivedAtMs() >= REPORT_TTL_MS) {
                reports.remove();
                accumulate(mWorkByUpstream, report.report(), -1);
            }
        }
    }

    /** Returns how many VMs' work is counted. */
    int reportingVms() {
        return mReportsByVm.values().stream().mapToInt(t -> t.report().vms()).sum();
    }

    /** Returns whether anything is in progress elsewhere. */
    boolean hasWork() {
        return !mWorkByUpstream.isEmpty();
    }

    /** Returns the other VMs' work at an upstream. */
    Work at(String upstream) {
        return mWorkByUpstream.getOrDefault(upstream, NO_WORK);
    }

    /** Returns all work but one VM's, and this VM's own. */
    InFlightReport sumWithout(String vm, InFlightReport own) {
        Map<String, Work> sum = new HashMap<>(mWorkByUpstream);
        Optional<InFlightReport> excluded =
                Optional.ofNullable(mReportsByVm.get(vm)).map(LastReport::report);
        excluded.ifPresent(r -> accumulate(sum, r, -1));
        accumulate(sum, own, 1);
        int vms = reportingVms() - excluded.map(InFlightReport::vms).orElse(0) + own.vms();
        return toReport(sum, vms);
    }

    /**
     * Returns the work of some VMs, and this VM's own. A sum that one of them told, since it takes
     * itself for a relay, is left out: two relays of one domain would add up each other's sums.
     */
    InFlightReport sumOf(List<String> vms, InFlightReport own) {
        Map<String, Work> sum = new HashMap<>();
        accumulate(sum, own, 1);
        int reportingVms = own.vms();
        for (String vm : vms) {
            LastReport last = mReportsByVm.get(vm);
            if (last != null && last.report().vms() == 1) {
                accumulate(sum, last.report(), 1);
                reportingVms++;
            }
        }
        return toReport(sum, reportingVms);
    }

    private static InFlightReport toReport(Map<String, Work> sum, int vms) {
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
    private static void accumulate(Map<String, Work> sums, InFlightReport report, int sign) {
        for (InFlightReport.Item item : report.items()) {
            Work sum = sums.getOrDefault(item.upstream(), NO_WORK).plus(item, sign);
            if (sum.equals(NO_WORK)) {
                sums.remove(item.upstream());
            } else {
                sums.put(item.upstream(), sum);
            }
        }
    }
}
