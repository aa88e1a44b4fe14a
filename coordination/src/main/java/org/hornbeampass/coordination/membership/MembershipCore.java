package org.hornbeampass.coordination.membership;

import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.ViewRevisions;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * State that the parts of {@link Membership} share: the member table, the updates to send and the
 * changes to publish.
 *
 * <p>Invariant: a report that this incarnation is suspect or gone is refuted with a higher counter,
 * never accepted. Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class MembershipCore {
    final MembershipSettings mSettings;
    final PeerNetwork mNetwork;
    final Random mRandom;
    final Outbox.LockedRunner mLockedRunner;
    final MemberTable mTable;
    private final UpdateQueue mQueue;

    /** The revisions of the VMs' views of the store. */
    private final Map<ViewKind, PeerRevisions> mRevisions = new EnumMap<>(ViewKind.class);

    final RejectedAccusations mRejected = new RejectedAccusations();
    private final List<VmId> mProvedGone = new ArrayList<>();
    private final List<VmId> mNewSuspects = new ArrayList<>();
    private boolean mViewChanged;
    private boolean mGossipDue;
    private boolean mSuperseded;

    MembershipCore(
            MembershipSettings settings,
            PeerNetwork network,
            Random random,
            Outbox.LockedRunner guard,
            MemberTable table) {
        mSettings = settings;
        mNetwork = network;
        mRandom = random;
        mLockedRunner = guard;
        mTable = table;
        mQueue = new UpdateQueue(settings.maxUpdateBytes());
        for (ViewKind view : ViewKind.values()) {
            mRevisions.put(view, new PeerRevisions());
        }
    }

    /** Returns the revisions of one view. */
    PeerRevisions revisions(ViewKind view) {
        return mRevisions.get(view);
    }

    /** Sets one of this VM's own revisions, and requests gossip if it is newer. */
    void advanceOwnRevision(ViewKind view, long revision) {
        mGossipDue |= revisions(view).advanceOwn(revision);
    }

    /** Returns the gossip data for a message to a peer; updates on the peer itself come first. */
    Rumours rumoursFor(VmId peer) {
        List<MemberUpdate> first = new ArrayList<>();
        Optional<MemberEntry> entry = mTable.entry(peer.name());
        if (entry.isPresent()) {
            boolean older = entry.get().vm().incarnation() > peer.incarnation();
            if (older || entry.get().health() != Health.LIVE) {
                first.add(entry.get().toUpdate(older));
            }
        }
        return rumours(first);
    }

    Rumours rumours(List<MemberUpdate> first) {
        List<MemberUpdate> updates = mQueue.take(first, mTable.entries().size(), mTable::entry);
        return rumours(updates, mTable.digest());
    }

    private Rumours rumours(List<MemberUpdate> updates, long digest) {
        ViewRevisions own =
                new ViewRevisions(
                        revisions(ViewKind.CONFIGURATION).own(),
                        revisions(ViewKind.UPSTREAMS).own(),
                        revisions(ViewKind.EVACUATIONS).own());
        return new Rumours(digest, own, updates);
    }

    /**
     * Sends the rejected accusation that has waited longest to the accused VM, which can then
     * refute it. No other updates are sent with it.
     */
    void forwardRejected(long nowMs, Outbox out) {
        Optional<MemberUpdate> rejected = mRejected.next(nowMs, mTable);
        if (rejected.isEmpty()) {
            return;
        }
        Rumours rumours = rumours(List.of(rejected.get()), mTable.digest());
        out.add(() -> mNetwork.send(rejected.get().name(), new Gossip(rumours)));
    }

    /** Applies gossip data from a peer; returns whether the two tables should be synchronised. */
    boolean applyRumours(long nowMs, VmId from, Rumours rumours) {
        boolean unknown = !recordContact(nowMs, from);
        Optional<Region> region = mTable.regionOf(from.name());
        boolean lacks = false;
        for (MemberUpdate update : rumours.updates()) {
            lacks |= merge(nowMs, update, region) == MergeResult.LACKS_DETAILS;
        }
        mRevisions.forEach((view, r) -> r.onAnnouncement(from, rumours.revisions().of(view)));
        return unknown || lacks;
    }

    /**
     * Records a message from a VM; returns whether its incarnation, or a newer one, is in the
     * table.
     */
    boolean recordContact(long nowMs, VmId from) {
        Optional<MemberEntry> entry = mTable.entry(from.name());
        if (entry.isEmpty() || entry.get().vm().incarnation() < from.incarnation()) {
            return false;
        }
        if (entry.get().vm().equals(from)) {
            entry.get().recordContact(nowMs);
        }
        return true;
    }

    MergeResult merge(long nowMs, MemberUpdate update, Optional<Region> senderRegion) {
        if (!update.wellFormed()) {
            return MergeResult.UNCHANGED;
        }
        Optional<VmId> before = mTable.entry(update.name()).map(MemberEntry::vm);
        MergeResult result = mTable.merge(nowMs, update, senderRegion);
        switch (result) {
            case CHANGED -> onChanged(update, before);
            case NEEDS_REFUTATION -> refute(nowMs, update);
            case SUPERSEDES_SELF -> mSuperseded = true;
            case REJECTED -> mRejected.add(update);
            case UNCHANGED -> onUnchanged(update);
            default -> {}
        }
        return result;
    }

    private void onUnchanged(MemberUpdate update) {
        Optional<MemberEntry> entry = mTable.entry(update.name());
        boolean same =
                entry.isPresent()
                        && entry.get().vm().incarnation() == update.incarnation()
                        && entry.get().counter() == update.counter()
                        && entry.get().health() == update.health();
        if (same) {
            mQueue.onReceivedFromPeer(update.name());
        }
    }

    private void onChanged(MemberUpdate update, Optional<VmId> before) {
        MemberEntry entry = mTable.entry(update.name()).orElseThrow();
        boolean newIncarnation = before.filter(entry.vm()::equals).isEmpty();
        if (newIncarnation) {
            before.ifPresent(mProvedGone::add);
            forgetRevisions(update.name());
        }
        if (entry.health() == Health.SUSPECT) {
            mNewSuspects.add(entry.vm());
        }
        queueUpdate(entry, newIncarnation);
    }

    private void refute(long nowMs, MemberUpdate update) {
        MemberEntry self = mTable.self();
        if (update.leaving()) {
            self.markLeaving();
        }
        self.setHealth(nowMs, update.counter() + 1, Health.LIVE);
        queueUpdate(self, false);
    }

    /** Queues an update on an entry that changed, and requests gossip. */
    void queueUpdate(MemberEntry entry, boolean withDetails) {
        mQueue.add(entry.name(), withDetails);
        mViewChanged = true;
        mGossipDue = true;
    }

    void setHealth(long nowMs, MemberEntry entry, Health health) {
        entry.setHealth(nowMs, entry.counter(), health);
        queueUpdate(entry, false);
    }

    void removeProvedGone(MemberEntry entry) {
        mProvedGone.add(entry.vm());
        mTable.forget(entry);
        forgetRevisions(entry.name());
        mViewChanged = true;
    }

    void forget(MemberEntry entry) {
        mTable.forget(entry);
        forgetRevisions(entry.name());
        mViewChanged = true;
    }

    boolean superseded() {
        return mSuperseded;
    }

    boolean takeGossipDue() {
        boolean due = mGossipDue;
        mGossipDue = false;
        return due;
    }

    boolean takeViewChanged() {
        boolean changed = mViewChanged;
        mViewChanged = false;
        return changed;
    }

    List<VmId> takeProvedGone() {
        return drain(mProvedGone);
    }

    private void forgetRevisions(String vmName) {
        mRevisions.values().forEach(r -> r.forget(vmName));
    }

    List<VmId> takeNewSuspects() {
        return drain(mNewSuspects);
    }

    private static <T> List<T> drain(List<T> from) {
        List<T> taken = List.copyOf(from);
        from.clear();
        return taken;
    }
}
