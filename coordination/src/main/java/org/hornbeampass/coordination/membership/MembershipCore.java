package org.hornbeampass.coordination.membership;

import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * What the parts of membership share: the table, the news to spread, and what came of merging.
 *
 * <p>Invariant: a rumour against this incarnation is answered by a higher counter, never believed.
 * Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class MembershipCore {
    final MembershipSettings mSettings;
    final PeerNetwork mNetwork;
    final Random mRandom;
    final Outbox.LockedRunner mLockedRunner;
    final MemberTable mTable;
    private final UpdateQueue mQueue;

    /** How new the configurations are that VMs run. */
    final PeerRevisions mConfigRevisions = new PeerRevisions();

    /** How new the changes of upstreams are that VMs know. */
    final PeerRevisions mUpstreamsRevisions = new PeerRevisions();

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
    }

    /** Takes this VM's own revision of a thing; a newer one is news. */
    void advanceOwnRevision(PeerRevisions revisions, long revision) {
        mGossipDue |= revisions.advanceOwn(revision);
    }

    /** Returns the rumours for a message to a peer; those about the peer itself go first. */
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
        return new Rumours(digest, mConfigRevisions.own(), mUpstreamsRevisions.own(), updates);
    }

    /** Passes the refused accusation that waits longest to the VM accused, without other news. */
    void forwardRejected(long nowMs, Outbox out) {
        Optional<MemberUpdate> refused = mRejected.next(nowMs, mTable);
        if (refused.isEmpty()) {
            return;
        }
        Rumours told = rumours(List.of(refused.get()), mTable.digest());
        out.add(() -> mNetwork.send(refused.get().name(), new Gossip(told)));
    }

    /** Takes in what a peer sent; returns whether the two tables should be compared. */
    boolean applyRumours(long nowMs, VmId from, Rumours rumours) {
        boolean unknown = !recordContact(nowMs, from);
        Optional<Region> region = mTable.regionOf(from.name());
        boolean lacks = false;
        for (MemberUpdate update : rumours.updates()) {
            lacks |= merge(nowMs, update, region) == MergeResult.LACKS_DETAILS;
        }
        mConfigRevisions.onAnnouncement(from, rumours.revision());
        mUpstreamsRevisions.onAnnouncement(from, rumours.upstreamsRevision());
        return unknown || lacks;
    }

    /** Notes a sign of life; returns whether the sender's incarnation is in the table. */
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

    /** Queues news of an entry that changed. */
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
        boolean news = mGossipDue;
        mGossipDue = false;
        return news;
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
        mConfigRevisions.forget(vmName);
        mUpstreamsRevisions.forget(vmName);
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
