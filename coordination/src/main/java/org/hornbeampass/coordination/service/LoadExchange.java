package org.hornbeampass.coordination.service;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Tells the other VMs, again and again, what this one has in progress at the upstreams.
 *
 * <p>Invariant: a VM sends at most {@link #MESSAGES_PER_S} messages a second, however many VMs
 * there are; with more VMs each hears of the others less often. Confined to one thread.
 */
public final class LoadExchange {
    /**
     * How often others are told at most, in milliseconds: an engine reads 5,000 tokens meanwhile.
     */
    private static final long PERIOD_MS = 100;

    /**
     * How many messages a VM sends in a second at most: a bound that eight VMs don't reach, not a
     * measured best. 83 VMs tell each other every second, 390 every five, where most of a report's
     * life is unknown load again.
     */
    private static final long MESSAGES_PER_S = 80;

    private static final long SECOND_MS = 1_000;

    private final UpstreamBoard mBoard;
    private final PeerNetwork mPeers;
    private final Supplier<List<String>> mNames;
    private long mNextMs;
    private boolean mToldNothing = true;

    /**
     * Makes an exchange.
     *
     * @param board what is in progress here, and takes in what is elsewhere
     * @param peers sends messages to other VMs
     * @param names gives the names of the other VMs that are up
     */
    public LoadExchange(UpstreamBoard board, PeerNetwork peers, Supplier<List<String>> names) {
        mBoard = board;
        mPeers = peers;
        mNames = names;
    }

    /** Tells the others where it is time; a VM with nothing in progress says so once. */
    public void tick(long nowMs) {
        if (nowMs < mNextMs) {
            return;
        }
        List<String> names = mNames.get();
        mNextMs = nowMs + Math.max(PERIOD_MS, names.size() * SECOND_MS / MESSAGES_PER_S);
        InFlightReport report = mBoard.inFlight();
        boolean nothing = report.items().isEmpty();
        if (!nothing || !mToldNothing) {
            names.forEach(n -> mPeers.send(n, report));
        }
        mToldNothing = nothing;
    }

    /** Takes another VM's report. */
    public void onReport(
            long nowMs, VmId from, InFlightReport report, Consumer<PeerMessage> reply) {
        mBoard.fleetLoad().onReport(nowMs, from.name(), report);
    }
}
