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
 * Processes the signals in upstreams' answers and shares them with the other VMs.
 *
 * <p>That an upstream is leaving is repeated until its entry shows it too or the upstream is gone;
 * a rate limit is repeated for as long as answers to this VM state it. A VM that starts later
 * therefore receives both. Confined to one thread.
 */
public final class SignalExchange {
    private static final String OWN_ANSWER = "";

    private final UpstreamRegistry mRegistry;
    private final SignalTable mTable;
    private final SignalListener mListener;
    private final BroadcastQueue<UpstreamIncarnation> mBroadcasts;

    /** The incarnations whose answers to this VM stated a rate limit since the last repetition. */
    private final Set<UpstreamIncarnation> mReportedLimits = new LinkedHashSet<>();

    /**
     * Creates an exchange.
     *
     * @param registry stops the use of upstreams that are leaving
     * @param table stores the signals
     * @param peers sends messages to other VMs
     * @param paths provides the current recipients
     * @param listener receives changes of signals
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

    /** Processes the signals of an answer to this VM. */
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

    /** Processes the signals that another VM reports. */
    public void onReport(long nowMs, VmId from, SignalReport report, Consumer<PeerMessage> reply) {
        List<UpstreamIncarnation> changed = new ArrayList<>();
        for (SignalReport.Item item : report.items()) {
            if (onItem(nowMs, from, item)) {
                changed.add(item.upstream());
            }
        }
        mBroadcasts.onReceived(from.name(), changed);
    }

    /**
     * Processes what another VM reports about one upstream; returns whether it changed the known
     * signals.
     */
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

    /** Sends changed signals, and repeats those that still hold, to the other VMs. */
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
