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
final class ShardDispatcher {
    private static final long MAX_DECISION_MS = 1_500;
    private static final long PLATFORM_UNREACHABLE_MS = 3_000;
    private static final long REPLICA_IDLE_MS = 60_000;
    private static final long OWNERS_REFRESH_MS = 1_000;
    private static final int MAX_LOADING = 4;

    private final Connections mConnections;
    private final VmId mSelf;
    private final ShardOwners mOwners;
    private final LedgerSettings mSettings;
    private final DeferredActions.LockRunner mLockRunner;
    private final BooleanSupplier mSettingsMatch;
    private final SplittableRandom mRandom;
    private final Map<Integer, LocalShard> mShards = new HashMap<>();
    private final List<PendingSubmission> mSubmissions = new ArrayList<>();

    private long mOwnersRefreshedMs = Long.MIN_VALUE;
    private long mWriterSequence;

    /**
     * What a VM reaches.
     *
     * @param platform the platform that keeps the log
     * @param background the same platform, for checkpoints and truncation, which can wait
     * @param peers the other routers
     */
    record Connections(Platform platform, Platform background, PeerNetwork peers) {}

    /** What this VM holds of one shard. */
    private static final class LocalShard {
        private final ShardOutbox mOutbox;
        private Optional<VmId> mOwner = Optional.empty();
        private Optional<VmId> mBackup = Optional.empty();
        private Optional<ShardReplica> mReplica = Optional.empty();
        private long mUsedMs;

        private LocalShard(ShardOutbox outbox) {
            mOutbox = outbox;
        }

        private boolean isOwnedBy(VmId vm) {
            return mOwner.isEmpty() || mOwner.get().equals(vm);
        }
    }

    ShardDispatcher(
            Connections links,
            VmId self,
            ShardOwners owners,
            LedgerSettings settings,
            DeferredActions.LockRunner guard,
            BooleanSupplier open,
            SplittableRandom random) {
        mConnections = links;
        mSelf = self;
        mOwners = owners;
        mSettings = settings;
        mLockRunner = guard;
        mSettingsMatch = open;
        mRandom = random;
        for (int shard = 0; shard < settings.shards(); shard++) {
            ShardOutbox outbox = new ShardOutbox(shard, links.peers(), guard, random.split());
            mShards.put(shard, new LocalShard(outbox));
        }
    }

    /** Takes in one of this VM's own entries. */
    void add(long nowMs, int shard, PendingEntry proposal, DeferredActions deferred) {
        refreshOwners(nowMs);
        LocalShard place = mShards.get(shard);
        place.mOutbox.add(proposal);
        forward(nowMs, shard, place, deferred);
    }

    /** Does what is due in every shard. */
    void tick(long nowMs, DeferredActions deferred) {
        refreshOwners(nowMs);
        mShards.forEach(
                (shard, place) -> {
                    forward(nowMs, shard, place, deferred);
                    maintainReplica(nowMs, shard, place, deferred);
                });
        mSubmissions.removeIf(r -> r.rejectIfOverdue(nowMs, MAX_DECISION_MS, deferred));
    }

    private void refreshOwners(long nowMs) {
        if (mOwnersRefreshedMs != Long.MIN_VALUE
                && nowMs - mOwnersRefreshedMs < OWNERS_REFRESH_MS) {
            return;
        }
        mOwnersRefreshedMs = nowMs;
        mShards.forEach(
                (shard, place) -> {
                    place.mOwner = mOwners.owner(shard);
                    place.mBackup =
                            place.isOwnedBy(mSelf) ? mOwners.backup(shard) : Optional.empty();
                });
    }

    private void forward(long nowMs, int shard, LocalShard place, DeferredActions deferred) {
        ShardOutbox outbox = place.mOutbox;
        if (!mSettingsMatch.getAsBoolean() || outbox.isEmpty()) {
            return;
        }
        boolean owned = place.isOwnedBy(mSelf);
        if (!owned && !outbox.appendsDirectly(nowMs)) {
            outbox.sendTo(nowMs, place.mOwner.orElseThrow(), deferred);
            return;
        }
        ShardReplica replica = replica(nowMs, shard, place);
        if (owned && replica.failingForMs(nowMs) >= PLATFORM_UNREACHABLE_MS) {
            place.mBackup.ifPresent(b -> outbox.sendTo(nowMs, b, deferred));
        } else if (owned || replica.isHealthy()) {
            outbox.drainTo(nowMs, replica, deferred);
        }
        replica.step(nowMs, deferred);
    }

    private ShardReplica replica(long nowMs, int shard, LocalShard place) {
        place.mUsedMs = nowMs;
        if (place.mReplica.isEmpty()) {
            place.mReplica =
                    Optional.of(
                            new ShardReplica(
                                    ShardReplica.Storage.of(
                                            mConnections.platform(),
                                            mConnections.background(),
                                            shard),
                                    mSelf,
                                    mSettings,
                                    mLockRunner,
                                    () -> mWriterSequence++,
                                    mRandom.split()));
        }
        return place.mReplica.get();
    }

    /** Opens the copy of an owned shard, closes one that is not used, and lets others go on. */
    private void maintainReplica(
            long nowMs, int shard, LocalShard place, DeferredActions deferred) {
        boolean owned = place.isOwnedBy(mSelf);
        if (place.mReplica.isEmpty()) {
            if (owned && mSettingsMatch.getAsBoolean() && loadingCount() < MAX_LOADING) {
                replica(nowMs, shard, place).step(nowMs, deferred);
            }
            return;
        }
        ShardReplica replica = place.mReplica.get();
        if (!owned && nowMs - place.mUsedMs > REPLICA_IDLE_MS && replica.isIdle()) {
            place.mReplica = Optional.empty();
            return;
        }
        if (replica.failingForMs(nowMs) >= PLATFORM_UNREACHABLE_MS) {
            place.mOutbox.addFirst(replica.removeLocalEntries());
        }
        replica.step(nowMs, deferred);
        replica.maintainCheckpoint(nowMs, owned, deferred);
    }

    private long loadingCount() {
        return mShards.values().stream()
                .flatMap(p -> p.mReplica.stream())
                .filter(r -> !r.isHealthy())
                .count();
    }

    /** Takes in another VM's entries. */
    void onSubmission(
            long nowMs,
            SubmitEntries message,
            Consumer<PeerMessage> reply,
            DeferredActions deferred) {
        List<RequestEntry> entries = new ArrayList<>();
        message.entries().forEach(t -> EntryCodec.decode(t).forEach(entries::add));
        LocalShard place = mShards.get(message.shard());
        if (!mSettingsMatch.getAsBoolean()
                || place == null
                || entries.isEmpty()
                || entries.size() != message.entries().size()) {
            reject(reply, deferred);
            return;
        }
        ShardReplica replica = replica(nowMs, message.shard(), place);
        boolean full =
                replica.pendingCount() + entries.size() > mSettings.backlog().maxOwnerEntries();
        if (full || replica.failingForMs(nowMs) >= MAX_DECISION_MS) {
            reject(reply, deferred);
            return;
        }
        PendingSubmission reception = new PendingSubmission(entries.size(), nowMs, reply);
        mSubmissions.add(reception);
        for (int i = 0; i < entries.size(); i++) {
            int index = i;
            PendingEntry proposal =
                    new PendingEntry(
                            entries.get(i),
                            message.entries().get(i),
                            false,
                            (atMs, decision) ->
                                    mLockRunner.runLocked(
                                            d -> reception.onDecision(index, decision, d)));
            replica.submit(nowMs, proposal, deferred);
        }
    }

    /** Refuses another VM's entries. */
    static void reject(Consumer<PeerMessage> reply, DeferredActions deferred) {
        deferred.add(() -> reply.accept(new EntriesRefused(MAX_DECISION_MS)));
    }

    /** Returns whether no entry, this VM's own or another's, waits in a copy of a shard. */
    boolean isIdle() {
        return mShards.values().stream()
                .flatMap(p -> p.mReplica.stream())
                .allMatch(ShardReplica::isIdle);
    }
}
