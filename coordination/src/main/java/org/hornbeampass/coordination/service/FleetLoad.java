package org.hornbeampass.coordination.service;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The load that the other VMs last reported for each upstream.
 *
 * <p>Invariant: a report counts until the next one of the same VM arrives or until it is {@link
 * #REPORT_TTL_MS} old. The sums per upstream cover all reports that count and are updated
 * incrementally. Confined to one thread.
 */
public final class FleetLoad {
    /**
     * How long a report counts, in milliseconds. Engines read a prompt within a few hundred
     * milliseconds; a VM that sends no report for longer is unreachable or has stopped, and its
     * load is unknown.
     */
    static final long REPORT_TTL_MS = 1_000;

    /** The mean time for which a report of another VM waits at a relay, in milliseconds. */
    private static final double RELAYED_AGE_MS = 100;

    /**
     * The time constant of the smoothed load, in milliseconds: longer than reports take, shorter
     * than the two seconds within which a slow upstream must be noticed.
     */
    private static final double SMOOTHING_TIME_CONSTANT_MS = 500;

    /** Smoothed loads below this many requests and tokens are removed. */
    private static final double NEGLIGIBLE = 0.01;

    /** No work of other VMs. */
    private static final Work NO_WORK = new Work(0, 0, 0);

    /**
     * Work in progress at one upstream.
     *
     * @param unreadTokens prompt tokens that the upstream has not read yet
     * @param requests requests in progress
     * @param heldTokens tokens of its cache that they need
     */
    record Work(long unreadTokens, int requests, long heldTokens) {
        Work plus(InFlightReport.Item item, int sign) {
            return new Work(
                    unreadTokens + sign * item.unreadTokens(),
                    requests + sign * item.requests(),
                    heldTokens + sign * item.heldTokens());
        }
    }

    /**
     * Smoothed work at one upstream.
     *
     * @param unreadTokens prompt tokens that the upstream has not read yet
     * @param requests requests in progress
     */
    record SmoothedWork(double unreadTokens, double requests) {
        private SmoothedWork towards(Work work, double share) {
            return new SmoothedWork(
                    unreadTokens + share * (work.unreadTokens() - unreadTokens),
                    requests + share * (work.requests() - requests));
        }

        private boolean isNegligible() {
            return unreadTokens < NEGLIGIBLE && requests < NEGLIGIBLE;
        }
    }

    private static final SmoothedWork NO_SMOOTHED_WORK = new SmoothedWork(0, 0);

    /**
     * The last report of one VM.
     *
     * @param receivedAtMs when it was received, in milliseconds
     * @param report the report
     */
    private record LastReport(long receivedAtMs, InFlightReport report) {}

    private final Map<String, LastReport> mReportsByVm = new HashMap<>();
    private final Map<String, Work> mWorkByUpstream = new HashMap<>();
    private final Map<String, SmoothedWork> mSmoothedByUpstream = new HashMap<>();
    private long mSmoothedAtMs = Long.MIN_VALUE;

    /** Replaces the last report of a VM by a new one. */
    public void onReport(long nowMs, String vm, InFlightReport report) {
        LastReport previous = mReportsByVm.put(vm, new LastReport(nowMs, report));
        if (previous != null) {
            accumulate(mWorkByUpstream, previous.report(), -1);
        }
        accumulate(mWorkByUpstream, report, 1);
    }

    /** Removes expired reports and updates the smoothed loads. */
    void tick(long nowMs) {
        smooth(nowMs);
        Iterator<LastReport> reports = mReportsByVm.values().iterator();
        while (reports.hasNext()) {
            LastReport report = reports.next();
            if (nowMs - report.receivedAtMs() >= REPORT_TTL_MS) {
                reports.remove();
                accumulate(mWorkByUpstream, report.report(), -1);
            }
        }
    }

    /** Returns the number of VMs whose load is known, this one included. */
    public int knownVms() {
        return 1 + reportingVms();
    }

    /** Returns how many VMs the current reports cover. */
    int reportingVms() {
        return mReportsByVm.values().stream().mapToInt(t -> t.report().vms()).sum();
    }

    /**
     * Returns the mean age of the current reports in milliseconds, weighted by the VMs that they
     * cover; 0 where there is none. A sum of several VMs' loads has waited at a relay.
     */
    double ageMs(long nowMs) {
        double sum = 0;
        int vms = 0;
        for (LastReport each : mReportsByVm.values()) {
            int covered = each.report().vms();
            double relayedMs = covered > 1 ? RELAYED_AGE_MS : 0;
            sum += covered * (nowMs - each.receivedAtMs() + relayedMs);
            vms += covered;
        }
        return vms == 0 ? 0 : sum / vms;
    }

    /**
     * Returns the factor for a VM's own load that makes it stand for the VMs without a current
     * report too. Callers choose VMs at random, so that their loads are similar.
     *
     * @param vms the number of VMs
     * @param ownFactor the factor where no VM reports
     */
    double ownWeight(int vms, double ownFactor) {
        int others = Math.max(1, vms - 1);
        double unreportedShare = Math.max(0, 1 - (double) reportingVms() / others);
        return 1 + unreportedShare * (ownFactor - 1);
    }

    /** Returns the requests in progress of all other VMs. */
    int requests() {
        return mWorkByUpstream.values().stream().mapToInt(Work::requests).sum();
    }

    /** Returns whether any other VM has requests in progress. */
    boolean hasWork() {
        return !mWorkByUpstream.isEmpty();
    }

    private void smooth(long nowMs) {
        double kept =
                mSmoothedAtMs == Long.MIN_VALUE
                        ? 0
                        : Math.exp((mSmoothedAtMs - nowMs) / SMOOTHING_TIME_CONSTANT_MS);
        mSmoothedAtMs = nowMs;
        mWorkByUpstream.keySet().forEach(u -> mSmoothedByUpstream.putIfAbsent(u, NO_SMOOTHED_WORK));
        mSmoothedByUpstream.replaceAll((u, w) -> w.towards(at(u), 1 - kept));
        mSmoothedByUpstream.values().removeIf(SmoothedWork::isNegligible);
    }

    /** Returns the smoothed load of all other VMs at an upstream. */
    SmoothedWork smoothedAt(String upstream) {
        return mSmoothedByUpstream.getOrDefault(upstream, NO_SMOOTHED_WORK);
    }

    /** Returns the load of all other VMs at an upstream. */
    Work at(String upstream) {
        return mWorkByUpstream.getOrDefault(upstream, NO_WORK);
    }

    /** Returns the sum of this VM's load and of all received reports except that of one VM. */
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
     * Returns the sum of this VM's load and of the reports of the given VMs. A report that covers
     * several VMs is left out: its sender also acts as a relay, and two relays of one failure
     * domain would add each other's sums again and again.
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
                                                e.getValue().requests(),
                                                e.getValue().heldTokens()))
                        .toList(),
                vms);
    }

    /**
     * Adds a report to the sums, or subtracts it where {@code sign} is -1; removes sums that become
     * zero.
     */
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
