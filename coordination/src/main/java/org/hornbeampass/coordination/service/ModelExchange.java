package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Reports once a second what this VM has observed of upstreams along the paths of load reports.
 *
 * <p>Written for fleets in which a VM alone sees less than one answer a second from most upstreams.
 * Invariants: each observation is counted once at each VM, unless VMs disagree about the relays; an
 * observation that is lost is not repeated. Confined to one thread.
 */
public final class ModelExchange {
    private static final long PERIOD_MS = 1_000;

    /** Every so many reports also hold the learnt rates, which a VM that has just started needs. */
    private static final int REPORTS_PER_SUMMARY = 5;

    /**
     * A received report that a relay has not passed on.
     *
     * @param from the VM that sent it
     * @param atMs when it was received, in milliseconds
     * @param report the report
     */
    private record Received(String from, long atMs, UpstreamModelReport report) {}

    private final UpstreamModels mModels;
    private final PeerNetwork mPeers;
    private final Supplier<BroadcastPaths> mPaths;
    private final List<Received> mPending = new ArrayList<>();
    private long mNextSendMs;
    private int mReports;

    /**
     * Creates an exchange.
     *
     * @param models provides this VM's observations and stores those of the others
     * @param peers sends messages to other VMs
     * @param paths provides the current recipients
     */
    public ModelExchange(UpstreamModels models, PeerNetwork peers, Supplier<BroadcastPaths> paths) {
        mModels = models;
        mPeers = peers;
        mPaths = paths;
    }

    /** Sends reports if they are due and there is something to report. */
    public void tick(long nowMs) {
        if (nowMs < mNextSendMs) {
            return;
        }
        mNextSendMs = nowMs + PERIOD_MS;
        BroadcastPaths paths = mPaths.get();
        List<UpstreamModelReport.Item> own = mModels.takeUnreported(nowMs);
        List<UpstreamModelReport.Item> learnt =
                mReports++ % REPORTS_PER_SUMMARY == 0 ? mModels.learntRates() : List.of();
        if (paths.isRelay()) {
            paths.directPeers()
                    .forEach(vm -> send(vm, merge(nowMs, own, r -> !r.from().equals(vm)), learnt));
            List<String> domain = paths.directPeers();
            List<UpstreamModelReport.Item> sum = merge(nowMs, own, r -> domain.contains(r.from()));
            paths.otherRelays().forEach(vm -> send(vm, sum, List.of()));
        } else if (paths.relay().isPresent()) {
            send(paths.relay().get(), own, List.of());
        } else {
            paths.directPeers().forEach(vm -> send(vm, own, learnt));
        }
        mPending.clear();
    }

    private void send(
            String vm,
            List<UpstreamModelReport.Item> items,
            List<UpstreamModelReport.Item> learnt) {
        List<UpstreamModelReport.Item> all = new ArrayList<>(learnt);
        all.addAll(items);
        if (!all.isEmpty()) {
            mPeers.send(vm, new UpstreamModelReport(all));
        }
    }

    private List<UpstreamModelReport.Item> merge(
            long nowMs, List<UpstreamModelReport.Item> own, Predicate<Received> included) {
        Map<UpstreamIncarnation, UpstreamModelDelta> sums = new LinkedHashMap<>();
        own.forEach(i -> add(sums, nowMs, nowMs, i));
        mPending.stream()
                .filter(included)
                .forEach(r -> r.report().items().forEach(i -> add(sums, nowMs, r.atMs(), i)));
        List<UpstreamModelReport.Item> items = new ArrayList<>();
        sums.forEach((upstream, sum) -> sum.toItem(nowMs, upstream).ifPresent(items::add));
        return items;
    }

    private static void add(
            Map<UpstreamIncarnation, UpstreamModelDelta> sums,
            long nowMs,
            long receivedMs,
            UpstreamModelReport.Item item) {
        if (item.samples() > 0) {
            sums.computeIfAbsent(item.upstream(), u -> new UpstreamModelDelta())
                    .add(nowMs, receivedMs, item);
        }
    }

    /** Stores another VM's report. */
    public void onReport(
            long nowMs, VmId from, UpstreamModelReport report, Consumer<PeerMessage> reply) {
        mModels.onReport(nowMs, report);
        if (mPaths.get().isRelay()) {
            mPending.add(new Received(from.name(), nowMs, report));
        }
    }
}
