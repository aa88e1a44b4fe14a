package org.hornbeampass.coordination.capacity;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.BroadcastQueue;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Shares what the VMs can carry and how much of it is used, so that answers about addresses name
 * them accordingly.
 *
 * <p>Invariants: a VM sends at most {@link #MAX_SENDS_PER_S} times a second to each of its
 * recipients, and at most about {@link #MAX_ITEMS_PER_S} items in total; a relay merges what it
 * forwards by VM and number, and forwards a report only once; a utilisation counts for {@link
 * #EXPIRY_MS} after it was received. Confined to one thread.
 */
public final class CapacityExchange {
    /** How long a report counts, in milliseconds. */
    static final long EXPIRY_MS = 3_000;

    /** The interval between the reports of a VM whose utilisation does not change. */
    private static final long REPEAT_MS = 1_000;

    /** The change of the utilisation that is reported before {@link #REPEAT_MS} has passed. */
    private static final double REPORTED_CHANGE = 0.1;

    /**
     * How long the capacity of a VM is remembered after its last report, in milliseconds; longer
     * than any loss of reports during which its callers still reach it.
     */
    private static final long MEMORY_MS = 60_000;

    private static final long MAX_SENDS_PER_S = 5;
    private static final long SECOND_MS = 1_000;

    /**
     * The most items that a VM sends in a second, over all recipients. An item takes some 40 bytes,
     * so a relay uses at most about 6 Mbit/s; with 79 VMs it does not reach a fifth of that.
     */
    private static final long MAX_ITEMS_PER_S = 20_000;

    /** No report is repeated, since a newer one follows within a second. */
    private static final int SENDS_PER_ITEM = 1;

    /** A VM's report, and when it was received in milliseconds. */
    private record Received(CapacityReport.Item item, long atMs) {}

    private final String mSelf;
    private final Map<String, Received> mReports = new HashMap<>();
    private final BroadcastQueue<String> mBroadcasts;
    private long mNumber;
    private long mReportedMs;
    private long mNextSendMs;

    /**
     * Creates an exchange.
     *
     * @param self this VM's name
     * @param startNumber larger than any number that a former incarnation of this VM used
     * @param peers sends messages to other VMs
     * @param paths provides the current recipients
     */
    public CapacityExchange(
            String self, long startNumber, PeerNetwork peers, Supplier<BroadcastPaths> paths) {
        mSelf = self;
        mNumber = startNumber;
        mBroadcasts =
                new BroadcastQueue<>(
                        paths,
                        (nowMs, vms, names) -> send(nowMs, peers, vms, names),
                        SENDS_PER_ITEM);
    }

    private void send(long nowMs, PeerNetwork peers, List<String> vms, List<String> names) {
        List<CapacityReport.Item> items =
                names.stream()
                        .filter(mReports::containsKey)
                        .map(n -> mReports.get(n).item())
                        .toList();
        if (items.isEmpty()) {
            return;
        }
        CapacityReport report = new CapacityReport(items);
        vms.forEach(vm -> peers.send(vm, report));
        long pauseMs = SECOND_MS * items.size() * vms.size() / MAX_ITEMS_PER_S;
        mNextSendMs = Math.max(mNextSendMs, nowMs + pauseMs);
    }

    /** Applies this VM's own utilisation and sends the reports that are due. */
    public void tick(long nowMs, VmCapacity capacity, Utilisation utilisation) {
        mReports.values().removeIf(r -> nowMs - r.atMs() >= MEMORY_MS);
        if (nowMs < mNextSendMs) {
            return;
        }
        if (isReportDue(nowMs, utilisation)) {
            mNumber++;
            mReportedMs = nowMs;
            mReports.put(
                    mSelf,
                    new Received(
                            CapacityReport.Item.of(mSelf, mNumber, capacity, utilisation), nowMs));
            mBroadcasts.add(mSelf);
        }
        mNextSendMs = nowMs + SECOND_MS / MAX_SENDS_PER_S;
        mBroadcasts.tick(nowMs);
    }

    private boolean isReportDue(long nowMs, Utilisation utilisation) {
        Received own = mReports.get(mSelf);
        return own == null
                || nowMs - mReportedMs >= REPEAT_MS
                || Math.abs(own.item().utilisation().largest() - utilisation.largest())
                        >= REPORTED_CHANGE;
    }

    /** Applies another VM's report; a {@code PeerHandler}. */
    public void onReport(
            long nowMs, VmId from, CapacityReport report, Consumer<PeerMessage> reply) {
        List<String> changed = new ArrayList<>();
        for (CapacityReport.Item item : report.items()) {
            Received known = mReports.get(item.vm());
            boolean newer =
                    known == null
                            || nowMs - known.atMs() >= EXPIRY_MS
                            || item.number() > known.item().number();
            if (newer && !item.vm().equals(mSelf)) {
                mReports.put(item.vm(), new Received(item, nowMs));
                changed.add(item.vm());
            }
        }
        mBroadcasts.onReceived(from.name(), changed);
    }

    /** Returns what is known of the VMs at present. */
    public CapacityReports reports(long nowMs) {
        Map<String, CapacityReport.Item> current = new HashMap<>();
        Map<String, VmCapacity> capacities = new HashMap<>();
        mReports.forEach(
                (vm, received) -> {
                    capacities.put(vm, received.item().capacity());
                    if (nowMs - received.atMs() < EXPIRY_MS) {
                        current.put(vm, received.item());
                    }
                });
        return new CapacityReports(current, capacities);
    }
}
