package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.EraListener;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.service.BroadcastPaths;
import org.hornbeampass.coordination.service.BroadcastQueue;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.state.VmId;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Blocks requests that crash upstreams, by their content or by a part of their prompts, from
 * running again anywhere in the fleet.
 *
 * <p>A VM sends the crashes that it sees to the other VMs along the same paths as load reports.
 * Quarantines are sent repeatedly, so that a VM that has just started or was unreachable receives
 * them too, and they are kept in the platform's store. While no upstream has crashed, nothing is
 * sent. Confined to one thread.
 */
public final class Quarantine implements EraListener {
    /** The largest number of requests in one message. */
    private static final int MAX_ITEMS = 128;

    /** How many crashes are remembered, the newest ones. */
    private static final int MAX_KNOWN_CRASHES = 1_024;

    /**
     * For how long after this VM learned of a crash connections can be lost because of it, in
     * milliseconds. An upstream whose entry does not state its start may run again later.
     */
    static final long CRASH_EFFECT_MS = 10_000;

    private final SuspectTable mTable;
    private final QuarantineStore mStore;
    private final PeerNetwork mPeers;
    private final BooleanSupplier mOwnsRecords;
    private final BroadcastQueue<SuspectDigest> mPendingReports;
    private final Map<UpstreamIncarnation, Long> mLearnedMsByCrash = new LinkedHashMap<>();
    private CrashListener mCrashListener = (nowMs, crash) -> {};

    /** Receives the crashes of upstreams that this VM learns of. */
    @FunctionalInterface
    public interface CrashListener {
        /** Called once for each crash that this VM saw or that another one reported. */
        void onCrash(long nowMs, UpstreamIncarnation crash);
    }

    /**
     * Creates a quarantine without requests.
     *
     * @param platform the store that holds the records of quarantines
     * @param peers sends messages to other VMs
     * @param paths returns the VMs to which reports are currently sent
     * @param ownsRecords returns whether this VM is the record owner, which writes to the store
     *     first and allows trials
     * @param random adds jitter to the calls to the store
     * @param listener notified when requests are quarantined and released
     */
    public Quarantine(
            Platform platform,
            PeerNetwork peers,
            Supplier<BroadcastPaths> paths,
            BooleanSupplier ownsRecords,
            RandomGenerator random,
            QuarantineListener listener) {
        mTable = new SuspectTable(listener);
        mStore = new QuarantineStore(platform, mTable, listener, ownsRecords, random, this::clear);
        mPeers = peers;
        mOwnsRecords = ownsRecords;
        mPendingReports = new BroadcastQueue<>(paths, this::sendReports);
    }

    /** Returns the suspected requests that this VM knows. */
    public SuspectTable suspects() {
        return mTable;
    }

    /**
     * Records a crash that this VM saw.
     *
     * @param nowMs the present time in milliseconds
     * @param crash the upstream that crashed
     * @param requests the requests of this VM that were in flight there
     */
    public void onCrash(long nowMs, UpstreamIncarnation crash, Collection<SuspectDigest> requests) {
        mTable.onCrash(nowMs, crash, requests).forEach(mPendingReports::add);
        learnCrash(nowMs, crash);
    }

    /**
     * Clears a request because an upstream answered it completely or operators lifted its
     * quarantine.
     *
     * @param nowMs the present time in milliseconds
     * @param digest the request
     */
    public void clear(long nowMs, SuspectDigest digest) {
        if (mTable.clear(nowMs, digest)) {
            mPendingReports.add(digest);
        }
    }

    /**
     * Clears a prompt part of crashes because an upstream successfully answered a request with it.
     *
     * @param nowMs the present time in milliseconds
     * @param part the prompt part
     * @param sentMs when the request was sent, in milliseconds: only crashes that this VM learned
     *     of before count as earlier
     */
    public void clearPart(long nowMs, SuspectDigest part, long sentMs) {
        if (mTable.clearLearnedBefore(nowMs, part, sentMs)) {
            mPendingReports.add(part);
        }
    }

    /** Sets the receiver of crashes that this VM learns of, each reported once. */
    public void setCrashListener(CrashListener listener) {
        mCrashListener = listener;
    }

    /**
     * Returns whether an incarnation of an upstream crashed so recently that the loss of a
     * connection to it is due to that.
     */
    public boolean hasJustCrashed(long nowMs, UpstreamIncarnation incarnation) {
        Long learnedMs = mLearnedMsByCrash.get(incarnation);
        return learnedMs != null && nowMs - learnedMs <= CRASH_EFFECT_MS;
    }

    private void learnCrash(long nowMs, UpstreamIncarnation crash) {
        if (mLearnedMsByCrash.putIfAbsent(crash, nowMs) != null) {
            return;
        }
        if (mLearnedMsByCrash.size() > MAX_KNOWN_CRASHES) {
            mLearnedMsByCrash.remove(mLearnedMsByCrash.keySet().iterator().next());
        }
        mCrashListener.onCrash(nowMs, crash);
    }

    /**
     * Returns whether a request may run on this VM as a trial of what is quarantined of it, which
     * shows whether this or something else with the same crashes is the cause. Only the record
     * owner allows trials, so as long as the VMs agree on the members of the fleet, one VM does.
     *
     * @param nowMs the present time in milliseconds
     * @param subjects the quarantined ones of the request and the parts of its prompt
     */
    public boolean isTrialDue(long nowMs, Collection<SuspectDigest> subjects) {
        return mTable.isTrialDue(nowMs, subjects) && mOwnsRecords.getAsBoolean();
    }

    /**
     * Starts a trial if one is due; returns whether it was started. No other trial starts on this
     * VM before {@link #endTrial} was called for each of the subjects.
     */
    public boolean tryStartTrial(long nowMs, Collection<SuspectDigest> subjects) {
        boolean started = isTrialDue(nowMs, subjects) && mTable.tryStartTrial(nowMs, subjects);
        if (started) {
            subjects.forEach(d -> onTrialStarted(nowMs, d));
        }
        return started;
    }

    private void onTrialStarted(long nowMs, SuspectDigest digest) {
        mPendingReports.add(digest);
        mTable.item(nowMs, digest).ifPresent(i -> mStore.recordTrial(nowMs, i));
    }

    /** Ends the trial of one subject once the request is no longer in flight at its upstream. */
    public void endTrial(long nowMs, SuspectDigest digest) {
        mTable.endTrial(nowMs, digest);
    }

    /** Merges a report from another VM and forwards what is new. */
    public void onReport(long nowMs, VmId from, SuspectReport report, Consumer<PeerMessage> reply) {
        mPendingReports.onReceived(from.name(), mTable.merge(nowMs, report.items()));
        report.items().stream()
                .filter(i -> i.quarantineLeftMs() > 0)
                .map(SuspectReport.Item::digest)
                .filter(d -> mTable.quarantineLeftMs(nowMs, d) == 0)
                .forEach(mPendingReports::add);
        report.items().stream()
                .flatMap(i -> i.crashes().stream())
                .forEach(c -> learnCrash(nowMs, c));
    }

    /** Handles that the store was restored, which may have lost records of quarantines. */
    @Override
    public void onEra(long nowMs, long formerEra, long era) {
        mStore.onEra(nowMs);
    }

    /** Sends new reports to the other VMs and makes the calls to the store that are due. */
    public void tick(long nowMs) {
        mTable.tick(nowMs);
        mStore.tick(nowMs);
        if (mPendingReports.isRepeatDue(nowMs)) {
            mTable.quarantinedItems(nowMs).forEach(i -> mPendingReports.add(i.digest()));
        }
        mPendingReports.tick(nowMs);
    }

    private void sendReports(long nowMs, List<String> vms, List<SuspectDigest> digests) {
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
