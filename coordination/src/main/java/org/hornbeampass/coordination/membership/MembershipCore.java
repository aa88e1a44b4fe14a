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
    final Outbox.Guard mGuard;
    final MemberTable mTable;
    private final UpdateQueue mQueue;

    /** How new the configurations are that VMs run. */
    final HeardRevisions mConfigurations = new HeardRevisions();

    /** How new the changes of upstreams are that VMs know. */
    final HeardRevisions mUpstreams = new HeardRevisions();

    final RefusedAccusations mRefused = new RefusedAccusations();
    private final List<VmId> mProvedGone = new ArrayList<>();
    private final List<VmId> mNewSuspects = new ArrayList<>();
    private boolean mChanged;
    private boolean mNews;
    private boolean mSuperseded;

    MembershipCore(
            MembershipSettings settings,
            PeerNetwork network,
            Random random,
            Outbox.Guard guard,
            MemberTable table) {
        mSettings = settings;
        mNetwork = network;
        mRandom = random;
        mGuard = guard;
        mTable = table;
        mQueue = new UpdateQueue(settings.maxUpdateBytes());
    }

    /** Takes this VM's own revision of a thing; a newer one is news. */
    void announce(HeardRevisions revisions, long revision) {
        mNews |= revisions.announce(revision);
    }

    /** Returns the rumours for a message to a peer; those about the peer itself go first. */
    Rumours rumoursFor(VmId peer) {
        List<MemberUpdate> first = new ArrayList<>();
        Optional<MemberEntry> entry = mTable.entry(peer.name());
        if (entry.isPresent()) {
            boolean older = entry.get().vm().incarnation() > peer.incarnation();
            if (older || entry.get().health() != Health.LIVE) {
                first.add(entry.get().update(older));
            }
        }
        return rumours(first);
    }

    Rumours rumours(List<MemberUpdate> first) {
        List<MemberUpdate> updates = mQueue.take(first, mTable.entries().size(), mTable::entry);
        return rumours(updates, mTable.digest());
    }

    private Rumours rumours(List<MemberUpdate> updates, long digest) {
        return new Rumours(digest, mConfigurations.own(), mUpstreams.own(), updates);
    }

    /** Passes the refused accusation that waits longest to the VM accused, without other news. */
    void passRefused(long nowMs, Outbox out) {
        Optional<MemberUpdate> refused = mRefused.next(nowMs, mTable);
        if (refused.isEmpty()) {
            return;
        }
        Rumours told = rumours(List.of(refused.get()), mTable.digest());
        out.add(() -> mNetwork.send(refused.get().name(), new Gossip(told)));
    }

    /** Takes in what a peer sent; returns whether the two tables should be compared. */
    boolean absorb(long nowMs, VmId from, Rumours rumours) {
        boolean unknown = !heardFrom(nowMs, from);
        Optional<Region> region = mTable.regionOf(from.name());
        boolean lacks = false;
        for (MemberUpdate update : rumours.updates()) {
            lacks |= merge(nowMs, update, region) == MergeResult.LACKS_DETAILS;
        }
        mConfigurations.hear(from, rumours.revision());
        mUpstreams.hear(from, rumours.upstreamsRevision());
        return unknown || lacks;
    }

    /** Notes a sign of life; returns whether the sender's incarnation is in the table. */
    boolean heardFrom(long nowMs, VmId from) {
        Optional<MemberEntry> entry = mTable.entry(from.name());
        if (entry.isEmpty() || entry.get().vm().incarnation() < from.incarnation()) {
            return false;
        }
        if (entry.get().vm().equals(from)) {
            entry.get().heard(nowMs);
        }
        return true;
    }

    MergeResult merge(long nowMs, MemberUpdate update, Optional<Region> senderRegion) {
        if (!update.wellFormed()) {
            return MergeResult.KNOWN;
        }
        Optional<VmId> before = mTable.entry(update.name()).map(MemberEntry::vm);
        MergeResult result = mTable.merge(nowMs, update, senderRegion);
        switch (result) {
            case CHANGED -> changed(update, before);
            case ACCUSES_SELF -> refute(nowMs, update);
            case SUPERSEDES_SELF -> mSuperseded = true;
            case REFUSED -> mRefused.add(update);
            case KNOWN -> noteTold(update);
            default -> {}
        }
        return result;
    }

    private void noteTold(MemberUpdate update) {
        Optional<MemberEntry> entry = mTable.entry(update.name());
        boolean same =
                entry.isPresent()
                        && entry.get().vm().incarnation() == update.incarnation()
                        && entry.get().counter() == update.counter()
                        && entry.get().health() == update.health();
        if (same) {
            mQueue.toldByPeer(update.name());
        }
    }

    private void changed(MemberUpdate update, Optional<VmId> before) {
        MemberEntry entry = mTable.entry(update.name()).orElseThrow();
        boolean newIncarnation = before.filter(entry.vm()::equals).isEmpty();
        if (newIncarnation) {
            before.ifPresent(mProvedGone::add);
            forgetRevisions(update.name());
        }
        if (entry.health() == Health.SUSPECT) {
            mNewSuspects.add(entry.vm());
        }
        spread(entry, newIncarnation);
    }

    private void refute(long nowMs, MemberUpdate update) {
        MemberEntry self = mTable.self();
        if (update.leaving()) {
            self.markLeaving();
        }
        self.set(nowMs, update.counter() + 1, Health.LIVE);
        spread(self, false);
    }

    /** Queues news of an entry that changed. */
    void spread(MemberEntry entry, boolean withDetails) {
        mQueue.add(entry.name(), withDetails);
        mChanged = true;
        mNews = true;
    }

    void setHealth(long nowMs, MemberEntry entry, Health health) {
        entry.set(nowMs, entry.counter(), health);
        spread(entry, false);
    }

    void proveGone(MemberEntry entry) {
        mProvedGone.add(entry.vm());
        mTable.forget(entry);
        forgetRevisions(entry.name());
        mChanged = true;
    }

    void forget(MemberEntry entry) {
        mTable.forget(entry);
        forgetRevisions(entry.name());
        mChanged = true;
    }

    boolean superseded() {
        return mSuperseded;
    }

    boolean takeNews() {
        boolean news = mNews;
        mNews = false;
        return news;
    }

    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    List<VmId> takeProvedGone() {
        return drain(mProvedGone);
    }

    private void forgetRevisions(String vmName) {
        mConfigurations.forget(vmName);
        mUpstreams.forget(vmName);
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
