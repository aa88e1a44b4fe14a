package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Moves entries between this VM's outboxes, its own copies of shards and other VMs.
 *
 * <p>Which way an entry goes: to the shard's owner; into this VM's own copy where it is the owner
 * or the owner can't be reached; to the next VM in line where this VM is the owner but the platform
 * does not answer it. Copies of owned shards are opened a few at a time, so that a VM that starts,
 * or all at once, read within a bound. While it is not known that this VM has the fleet's settings,
 * its own entries wait, others' are refused and no shard is opened. Not thread-safe; the ledger's
 * lock guards it.
 */
final class ShardTraffic {
    private static final long HOLD_MS = 1_500;
    private static final long CUT_OFF_MS = 3_000;
    private static final long REPLICA_IDLE_MS = 60_000;
    private static final long OWNERS_REFRESH_MS = 1_000;
    private static final int MAX_LOADING = 4;

    private final Links mLinks;
    private final VmId mSelf;
    private final ShardOwners mOwners;
    private final LedgerSettings mSettings;
    private final Deferred.Guard mGuard;
    private final BooleanSupplier mOpen;
    private final SplittableRandom mRandom;
    private final Map<Integer, Place> mPlaces = new HashMap<>();
    private final List<EntryReception> mReceptions = new ArrayList<>();

    private long mOwnersAtMs = Long.MIN_VALUE;
    private long mWriterSequence;

    /**
     * What a VM reaches.
     *
     * @param platform the platform that keeps the log
     * @param background the same platform, for checkpoints and truncation, which can wait
     * @param peers the other routers
     */
    record Links(Platform platform, Platform background, PeerNetwork peers) {}

    /** What this VM holds of one shard. */
    private static final class Place {
        private final ShardOutbox mOutbox;
        private Optional<VmId> mOwner = Optional.empty();
        private Optional<VmId> mBackup = Optional.empty();
        private Optional<ShardReplica> mReplica = Optional.empty();
        private long mUsedMs;

        private Place(ShardOutbox outbox) {
            mOutbox = outbox;
        }

        private boolean ownedBy(VmId vm) {
            return mOwner.isEmpty() || mOwner.get().equals(vm);
        }
    }

    ShardTraffic(
            Links links,
            VmId self,
            ShardOwners owners,
            LedgerSettings settings,
            Deferred.Guard guard,
            BooleanSupplier open,
            SplittableRandom random) {
        mLinks = links;
        mSelf = self;
        mOwners = owners;
        mSettings = settings;
        mGuard = guard;
        mOpen = open;
        mRandom = random;
        for (int shard = 0; shard < settings.shards(); shard++) {
            ShardOutbox outbox = new ShardOutbox(shard, links.peers(), guard, random.split());
            mPlaces.put(shard, new Place(outbox));
        }
    }

    /** Takes in one of this VM's own entries. */
    void add(long nowMs, int shard, Proposal proposal, Deferred deferred) {
        refreshOwners(nowMs);
        Place place = mPlaces.get(shard);
        place.mOutbox.add(proposal);
        forward(nowMs, shard, place, deferred);
    }

    /** Does what is due in every shard. */
    void tick(long nowMs, Deferred deferred) {
        refreshOwners(nowMs);
        mPlaces.forEach(
                (shard, place) -> {
                    forward(nowMs, shard, place, deferred);
                    keep(nowMs, shard, place, deferred);
                });
        mReceptions.removeIf(r -> r.answeredOrRefused(nowMs, HOLD_MS, deferred));
    }

    private void refreshOwners(long nowMs) {
        if (mOwnersAtMs != Long.MIN_VALUE && nowMs - mOwnersAtMs < OWNERS_REFRESH_MS) {
            return;
        }
        mOwnersAtMs = nowMs;
        mPlaces.forEach(
                (shard, place) -> {
                    place.mOwner = mOwners.owner(shard);
                    place.mBackup = place.ownedBy(mSelf) ? mOwners.backup(shard) : Optional.empty();
                });
    }

    private void forward(long nowMs, int shard, Place place, Deferred deferred) {
        ShardOutbox outbox = place.mOutbox;
        if (!mOpen.getAsBoolean() || outbox.isEmpty()) {
            return;
        }
        boolean owned = place.ownedBy(mSelf);
        if (!owned && !outbox.direct(nowMs)) {
            outbox.sendTo(nowMs, place.mOwner.orElseThrow(), deferred);
            return;
        }
        ShardReplica replica = replica(nowMs, shard, place);
        if (owned && replica.failingForMs(nowMs) >= CUT_OFF_MS) {
            place.mBackup.ifPresent(b -> outbox.sendTo(nowMs, b, deferred));
        } else if (owned || replica.healthy()) {
            outbox.drainTo(nowMs, replica, deferred);
        }
        replica.step(nowMs, deferred);
    }

    private ShardReplica replica(long nowMs, int shard, Place place) {
        place.mUsedMs = nowMs;
        if (place.mReplica.isEmpty()) {
            place.mReplica =
                    Optional.of(
                            new ShardReplica(
                                    ShardReplica.Storage.of(
                                            mLinks.platform(), mLinks.background(), shard),
                                    mSelf,
                                    mSettings,
                                    mGuard,
                                    () -> mWriterSequence++,
                                    mRandom.split()));
        }
        return place.mReplica.get();
    }

    /** Opens the copy of an owned shard, closes one that is not used, and lets others go on. */
    private void keep(long nowMs, int shard, Place place, Deferred deferred) {
        boolean owned = place.ownedBy(mSelf);
        if (place.mReplica.isEmpty()) {
            if (owned && mOpen.getAsBoolean() && loading() < MAX_LOADING) {
                replica(nowMs, shard, place).step(nowMs, deferred);
            }
            return;
        }
        ShardReplica replica = place.mReplica.get();
        if (!owned && nowMs - place.mUsedMs > REPLICA_IDLE_MS && replica.idle()) {
            place.mReplica = Optional.empty();
            return;
        }
        if (replica.failingForMs(nowMs) >= CUT_OFF_MS) {
            place.mOutbox.addFirst(replica.recall());
        }
        replica.step(nowMs, deferred);
        replica.checkpoint(nowMs, owned, deferred);
    }

    private long loading() {
        return mPlaces.values().stream()
                .flatMap(p -> p.mReplica.stream())
                .filter(r -> !r.healthy())
                .count();
    }

    /** Takes in another VM's entries. */
    void receive(
            long nowMs, SubmitEntries message, Consumer<PeerMessage> reply, Deferred deferred) {
        List<RequestEntry> entries = new ArrayList<>();
        message.entries().forEach(t -> EntryCodec.decode(t).forEach(entries::add));
        Place place = mPlaces.get(message.shard());
        if (!mOpen.getAsBoolean()
                || place == null
                || entries.isEmpty()
                || entries.size() != message.entries().size()) {
            refuse(reply, deferred);
            return;
        }
        ShardReplica replica = replica(nowMs, message.shard(), place);
        boolean full = replica.waiting() + entries.size() > mSettings.backlog().maxOwnerEntries();
        if (full || replica.failingForMs(nowMs) >= HOLD_MS) {
            refuse(reply, deferred);
            return;
        }
        EntryReception reception = new EntryReception(entries.size(), nowMs, reply);
        mReceptions.add(reception);
        for (int i = 0; i < entries.size(); i++) {
            int index = i;
            Proposal proposal =
                    new Proposal(
                            entries.get(i),
                            message.entries().get(i),
                            false,
                            (atMs, decision) ->
                                    mGuard.locked(d -> reception.decided(index, decision, d)));
            replica.submit(nowMs, proposal, deferred);
        }
    }

    /** Refuses another VM's entries. */
    static void refuse(Consumer<PeerMessage> reply, Deferred deferred) {
        deferred.add(() -> reply.accept(new EntriesRefused(HOLD_MS)));
    }

    /** Returns whether no entry, this VM's own or another's, waits in a copy of a shard. */
    boolean idle() {
        return mPlaces.values().stream()
                .flatMap(p -> p.mReplica.stream())
                .allMatch(ShardReplica::idle);
    }
}
