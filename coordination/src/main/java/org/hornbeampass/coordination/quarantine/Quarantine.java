package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.service.LoadPaths;
import org.hornbeampass.state.VmId;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps requests that crash upstreams from running again, anywhere in the fleet.
 *
 * <p>What a VM finds out it tells the others along the paths of the load reports, twice, since a
 * message may be lost; quarantines are told again and again, so that a VM that starts or was cut
 * off hears of them, and are kept in the platform's store. Nothing is sent where no upstream
 * crashed. Invariant: each item that is new here is passed on once. Confined to one thread.
 */
public final class Quarantine {
    /** How often quarantines are told, and when news are told again, in milliseconds. */
    private static final long REPEAT_MS = 1_000;

    /** How many requests one message tells of at most. */
    private static final int MAX_ITEMS = 128;

    private final SuspectTable mTable;
    private final QuarantineRecords mRecords;
    private final PeerNetwork mPeers;
    private final Supplier<LoadPaths> mPaths;

    /** News of this VM or its failure domain, for all others. */
    private final Set<RequestDigest> mNews = new LinkedHashSet<>();

    /** News of other failure domains, for this VM's own. */
    private final Set<RequestDigest> mFarNews = new LinkedHashSet<>();

    private final Set<RequestDigest> mToRepeat = new LinkedHashSet<>();
    private long mNextRepeatMs;

    /**
     * Makes a quarantine without requests.
     *
     * @param platform the store that keeps it
     * @param peers sends messages to other VMs
     * @param paths gives whom to tell now
     * @param keeper whether this VM is the one that writes to the store first
     * @param random spreads calls to the store
     * @param listener hears of verdicts
     */
    public Quarantine(
            Platform platform,
            PeerNetwork peers,
            Supplier<LoadPaths> paths,
            BooleanSupplier keeper,
            RandomGenerator random,
            SuspectListener listener) {
        mTable = new SuspectTable(listener);
        mRecords = new QuarantineRecords(platform, mTable, listener, keeper, random, this::clear);
        mPeers = peers;
        mPaths = paths;
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
    public void onCrash(long nowMs, UpstreamCrash crash, Collection<RequestDigest> requests) {
        mNews.addAll(mTable.onCrash(nowMs, crash, requests));
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

    /** Takes what another VM tells. */
    public void onReport(long nowMs, VmId from, SuspectReport report, Consumer<PeerMessage> reply) {
        List<RequestDigest> changed = mTable.merge(nowMs, report.items());
        LoadPaths paths = mPaths.get();
        if (paths.isRelay()) {
            (paths.relays().contains(from.name()) ? mFarNews : mNews).addAll(changed);
        }
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
        LoadPaths paths = mPaths.get();
        if (nowMs >= mNextRepeatMs) {
            mNextRepeatMs = nowMs + REPEAT_MS;
            tell(nowMs, paths.toAll(), mToRepeat);
            mTable.quarantined(nowMs).forEach(i -> mNews.add(i.digest()));
            mToRepeat.clear();
        }
        mToRepeat.addAll(mNews);
        mToRepeat.addAll(mFarNews);
        tell(nowMs, paths.toAll(), mNews);
        tell(nowMs, paths.near(), mFarNews);
        mNews.clear();
        mFarNews.clear();
    }

    private void tell(long nowMs, List<String> vms, Set<RequestDigest> digests) {
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
