package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Takes the word of upstreams that they leave, and passes it on to the other VMs.
 *
 * <p>Their entries say it too, but not while the platform can't be reached. The word is told until
 * the entry says it or the upstream is gone, so that a VM that starts meanwhile hears of it.
 * Confined to one thread.
 */
public final class LeavingExchange {
    private final UpstreamBoard mBoard;
    private final RelayedNews<UpstreamIncarnation> mNews;

    /**
     * Makes an exchange.
     *
     * @param board takes the upstreams out of use
     * @param peers sends messages to other VMs
     * @param paths gives whom to tell now
     */
    public LeavingExchange(UpstreamBoard board, PeerNetwork peers, Supplier<LoadPaths> paths) {
        mBoard = board;
        mNews =
                new RelayedNews<>(
                        paths,
                        (vms, upstreams) -> {
                            LeavingReport report = new LeavingReport(upstreams);
                            vms.forEach(vm -> peers.send(vm, report));
                        });
    }

    /** Takes the word of an upstream; returns whether it is new here. */
    public boolean onAnswer(long nowMs, UpstreamInstance upstream) {
        boolean isNew = mBoard.onLeaving(nowMs, upstream.incarnation());
        if (isNew) {
            mNews.add(upstream.incarnation());
        }
        return isNew;
    }

    /** Takes what another VM was told. */
    public void onReport(long nowMs, VmId from, LeavingReport report, Consumer<PeerMessage> reply) {
        List<UpstreamIncarnation> isNew =
                report.upstreams().stream().filter(u -> mBoard.onLeaving(nowMs, u)).toList();
        mNews.onTold(from.name(), isNew);
    }

    /** Tells the other VMs. */
    public void tick(long nowMs) {
        if (mNews.repeats(nowMs)) {
            mBoard.leavingByAnswerAlone(nowMs).forEach(mNews::add);
        }
        mNews.tick(nowMs);
    }
}
