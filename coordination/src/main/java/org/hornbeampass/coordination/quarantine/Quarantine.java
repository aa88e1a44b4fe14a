package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.BroadcastQueue;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.state.VmId;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps requests that crash upstreams from running again, anywhere in the fleet.
 *
 * <p>What a VM finds out it tells the others along the paths of the load reports. Quarantines are
 * told again and again, so that a VM that starts or was cut off hears of them, and are kept in the
 * platform's store. Nothing is sent where no upstream crashed. Confined to one thread.
 */
public final class Quarantine {
    /** How many requests one message tells of at most. */
    private static final int MAX_ITEMS = 128;

    private final SuspectTable mTable;
    private final QuarantineRecords mRecords;
    private final PeerNetwork mPeers;
    private final BooleanSupplier mKeeper;
    private final BroadcastQueue<RequestDigest> mNews;

    /**
     * Makes a quarantine without requests.
     *
     * @param platform the store that keeps it
     * @param peers sends messages to other VMs
     * @param paths gives whom to tell now
     * @param keeper whether this VM is the one that writes to the store first, and allows trials
     * @param random spreads calls to the store
     * @param listener hears of verdicts
     */
    public Quarantine(
            Platform platform,
            PeerNetwork peers,
            Supplier<BroadcastPaths> paths,
            BooleanSupplier keeper,
            RandomGenerator random,
            SuspectListener listener) {
        mTable = new SuspectTable(listener);
        mRecords = new QuarantineRecords(platform, mTable, listener, keeper, random, this::clear);
        mPeers = peers;
        mKeeper = keeper;
        mNews = new BroadcastQueue<>(paths, this::tell);
    }

    /** Returns what is known of requests. */
    public SuspectTable suspects() {
        return mTable;
    }

    /**
     * Takes a crash that this VM saw.
     *
     * @param nowMs the present time in milliseconds
     * @param crash the upstream
     * @param requests those of this VM that were in progress there
     */
    public void onCrash(long nowMs, UpstreamIncarnation crash, Collection<RequestDigest> requests) {
        mTable.onCrash(nowMs, crash, requests).forEach(mNews::add);
    }

    /**
     * Clears a request: an upstream answered it whole, or operators lifted its quarantine.
     *
     * @param nowMs the present time in milliseconds
     * @param digest the request
     */
    public void clear(long nowMs, RequestDigest digest) {
        if (mTable.clear(nowMs, digest)) {
            mNews.add(digest);
        }
    }

    /**
     * Returns whether a quarantined request may run here as a trial, to tell it from others that
     * were interrupted by the same crashes. One VM of the fleet allows trials, as far as its VMs
     * agree on their members.
     */
    public boolean trialDue(long nowMs, RequestDigest digest) {
        return mTable.trialDue(nowMs, digest) && mKeeper.getAsBoolean();
    }

    /**
     * Counts a trial that is about to run; returns whether it may. No other one begins before
     * {@link #endTrial}.
     */
    public boolean takeTrial(long nowMs, RequestDigest digest) {
        return trialDue(nowMs, digest) && mTable.takeTrial(nowMs, digest);
    }

    /** Ends a trial: the request has left its upstream. */
    public void endTrial(long nowMs, RequestDigest digest) {
        mTable.endTrial(nowMs, digest);
    }

    /** Takes what another VM tells. */
    public void onReport(long nowMs, VmId from, SuspectReport report, Consumer<PeerMessage> reply) {
        mNews.onReceived(from.name(), mTable.merge(nowMs, report.items()));
        report.items().stream()
                .filter(i -> i.quarantineLeftMs() > 0)
                .map(SuspectReport.Item::digest)
                .filter(d -> mTable.quarantineLeftMs(nowMs, d) == 0)
                .forEach(mNews::add);
    }

    /** Tells the others what is new, and makes the calls to the store that are due. */
    public void tick(long nowMs) {
        mTable.tick(nowMs);
        mRecords.tick(nowMs);
        if (mNews.isRepeatDue(nowMs)) {
            mTable.quarantined(nowMs).forEach(i -> mNews.add(i.digest()));
        }
        mNews.tick(nowMs);
    }

    private void tell(long nowMs, List<String> vms, List<RequestDigest> digests) {
        List<SuspectReport.Item> items =
                digests.stream().map(d -> mTable.item(nowMs, d)).flatMap(Optional::stream).toList();
        for (int from = 0; from < items.size(); from += MAX_ITEMS) {
            SuspectReport report =
                    new SuspectReport(
                            items.subList(from, Math.min(items.size(), from + MAX_ITEMS)));
            vms.forEach(vm -> mPeers.send(vm, report));
        }
    }
}
