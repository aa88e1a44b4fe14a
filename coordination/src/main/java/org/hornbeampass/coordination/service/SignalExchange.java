package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Takes what upstreams say of themselves in their answers, and tells the other VMs.
 *
 * <p>That an upstream leaves is told until its entry says so too or it is gone, and a rate limit
 * for as long as answers to this VM name it, so that a VM that starts meanwhile hears of both.
 * Confined to one thread.
 */
public final class SignalExchange {
    private static final String OWN_ANSWER = "";

    private final UpstreamRegistry mRegistry;
    private final SignalTable mTable;
    private final SignalListener mListener;
    private final BroadcastQueue<UpstreamIncarnation> mBroadcasts;

    /** The incarnations whose limit was named to this VM since news were last repeated. */
    private final Set<UpstreamIncarnation> mReportedLimits = new LinkedHashSet<>();

    /**
     * Makes an exchange.
     *
     * @param registry takes upstreams that leave out of use
     * @param table keeps the signals
     * @param peers sends messages to other VMs
     * @param paths gives whom to tell now
     * @param listener hears what is new
     */
    public SignalExchange(
            UpstreamRegistry registry,
            SignalTable table,
            PeerNetwork peers,
            Supplier<BroadcastPaths> paths,
            SignalListener listener) {
        mRegistry = registry;
        mTable = table;
        mListener = listener;
        mBroadcasts =
                new BroadcastQueue<>(
                        paths,
                        (nowMs, vms, upstreams) -> {
                            SignalReport report = report(nowMs, upstreams);
                            vms.forEach(vm -> peers.send(vm, report));
                        });
    }

    private SignalReport report(long nowMs, List<UpstreamIncarnation> upstreams) {
        return new SignalReport(
                upstreams.stream()
                        .map(u -> SignalReport.Item.of(nowMs, u, mTable.get(u)))
                        .toList());
    }

    /** Takes what an answer said of its upstream. */
    public void onAnswer(long nowMs, UpstreamInstance upstream, UpstreamSignals signals) {
        if (!signals.restricts() && mTable.isEmpty()) {
            return;
        }
        UpstreamIncarnation incarnation = upstream.incarnation();
        if (!signals.restricts() && !mTable.contains(incarnation)) {
            return;
        }
        if (merge(nowMs, incarnation, signals, OWN_ANSWER)) {
            mBroadcasts.add(incarnation);
        }
        if (signals.rateLimit().hasLimit()) {
            mReportedLimits.add(incarnation);
        }
    }

    /** Takes what another VM was told. */
    public void onReport(long nowMs, VmId from, SignalReport report, Consumer<PeerMessage> reply) {
        List<UpstreamIncarnation> changed = new ArrayList<>();
        for (SignalReport.Item item : report.items()) {
            if (onItem(nowMs, from, item)) {
                changed.add(item.upstream());
            }
        }
        mBroadcasts.onReceived(from.name(), changed);
    }

    /** Takes what another VM knows of one upstream; returns whether any of it is new. */
    public boolean onItem(long nowMs, VmId from, SignalReport.Item item) {
        return merge(nowMs, item.upstream(), item.signals(nowMs), from.name());
    }

    private boolean merge(
            long nowMs, UpstreamIncarnation upstream, UpstreamSignals signals, String source) {
        UpstreamSignals before = mTable.merge(nowMs, upstream, signals);
        UpstreamSignals after = mTable.get(upstream);
        boolean startsLeaving = after.leaving() && !before.leaving();
        if (startsLeaving) {
            mRegistry.markLeaving(upstream);
            mListener.onLeaving(nowMs, upstream, source);
        }
        boolean limitChanged =
                !after.rateLimit().perSecond().equals(before.rateLimit().perSecond());
        if (limitChanged) {
            mListener.onRateLimit(nowMs, upstream, after.rateLimit().perSecond(), source);
        }
        return startsLeaving || limitChanged;
    }

    /** Tells the other VMs. */
    public void tick(long nowMs) {
        mTable.tick(nowMs);
        if (mBroadcasts.isRepeatDue(nowMs)) {
            mRegistry.leavingByAnswerOnly(nowMs).forEach(mBroadcasts::add);
            mReportedLimits.forEach(mBroadcasts::add);
            mReportedLimits.clear();
        }
        mBroadcasts.tick(nowMs);
    }
}
