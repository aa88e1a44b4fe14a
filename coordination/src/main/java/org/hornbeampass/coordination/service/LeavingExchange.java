package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Takes upstreams out of use whose answers say that they leave, and tells the other VMs.
 *
 * <p>Their entries say it too, but not while the platform can't be reached. It is told until the
 * entry says it or the upstream is gone, so that a VM that starts meanwhile hears of it. Confined
 * to one thread.
 */
public final class LeavingExchange {
    private static final String ANSWER = "";

    private final UpstreamBoard mBoard;
    private final LeavingListener mListener;
    private final RelayedNews<UpstreamIncarnation> mNews;

    /**
     * Makes an exchange.
     *
     * @param board takes the upstreams out of use
     * @param peers sends messages to other VMs
     * @param paths gives whom to tell now
     * @param listener hears of upstreams that leave
     */
    public LeavingExchange(
            UpstreamBoard board,
            PeerNetwork peers,
            Supplier<FleetPaths> paths,
            LeavingListener listener) {
        mBoard = board;
        mListener = listener;
        mNews =
                new RelayedNews<>(
                        paths,
                        (nowMs, vms, upstreams) -> {
                            LeavingReport report = new LeavingReport(upstreams);
                            vms.forEach(vm -> peers.send(vm, report));
                        });
    }

    /** Handles an answer that says that its upstream leaves. */
    public void onAnswer(long nowMs, UpstreamInstance upstream) {
        if (learn(nowMs, upstream.incarnation(), ANSWER)) {
            mNews.add(upstream.incarnation());
        }
    }

    /** Takes what another VM was told. */
    public void onReport(long nowMs, VmId from, LeavingReport report, Consumer<PeerMessage> reply) {
        List<UpstreamIncarnation> learnt =
                report.upstreams().stream().filter(u -> learn(nowMs, u, from.name())).toList();
        mNews.onTold(from.name(), learnt);
    }

    private boolean learn(long nowMs, UpstreamIncarnation upstream, String toldBy) {
        boolean isNew = mBoard.onLeaving(nowMs, upstream);
        if (isNew) {
            mListener.onLeaving(nowMs, upstream, toldBy);
        }
        return isNew;
    }

    /** Tells the other VMs. */
    public void tick(long nowMs) {
        if (mNews.repeats(nowMs)) {
            mBoard.leavingByAnswerAlone(nowMs).forEach(mNews::add);
        }
        mNews.tick(nowMs);
    }
}
