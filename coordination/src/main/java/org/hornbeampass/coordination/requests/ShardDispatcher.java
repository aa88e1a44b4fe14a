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
 * Dispatches entries to outboxes, replicas of shards and other VMs.
 *
 * <p>An entry goes to the owner of the shard; to the replica on this VM, if this VM is the owner or
 * the owner is unreachable; or to the backup VM, if this VM is the owner but the platform does not
 * answer it. Replicas of owned shards are opened a few at a time, so that the reads of one starting
 * VM, or of all at once, are bounded. Until the settings of this VM are known to match those of the
 * fleet, its own entries wait, those of other VMs are rejected and no shard is opened. Not
 * thread-safe; guarded by the ledger's lock.
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
    private final AfterUnlockActions.LockRunner mLockRunner;
    private final BooleanSupplier mSettingsMatch;
    private final SplittableRandom mRandom;
    private final Map<Integer, LocalShard> mShards = new HashMap<>();
    private final List<PendingSubmission> mSubmissions = new ArrayList<>();

    private long mOwnersRefreshedMs = Long.MIN_VALUE;
    private long mWriterSequence;

    /**
     * The connections of this VM.
     *
     * @param platform the platform that stores the log
     * @param background the same platform, used for checkpoints and truncation, which are less
     *     urgent
     * @param peers the other routers
     */
    record Connections(Platform platform, Platform background, PeerNetwork peers) {}

    /** The outbox, owners and replica that this VM has for one shard. */
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
            Connections connections,
            VmId self,
            ShardOwners owners,
            LedgerSettings settings,
            AfterUnlockActions.LockRunner lockRunner,
            BooleanSupplier settingsMatch,
            SplittableRandom random) {
        mConnections = connections;
        mSelf = self;
        mOwners = owners;
        mSettings = settings;
        mLockRunner = lockRunner;
        mSettingsMatch = settingsMatch;
        mRandom = random;
        for (int shard = 0; shard < settings.shards(); shard++) {
            ShardOutbox outbox =
                    new ShardOutbox(shard, connections.peers(), lockRunner, random.split());
            mShards.put(shard, new LocalShard(outbox));
        }
    }

    /** Adds an entry of this VM. */
    void add(long nowMs, int shard, PendingEntry pending, AfterUnlockActions deferred) {
        refreshOwners(nowMs);
        LocalShard local = mShards.get(shard);
        local.mOutbox.add(pending);
        forward(nowMs, shard, local, deferred);
    }

    /** Starts what is due in every shard, and rejects submissions that have waited too long. */
    void tick(long nowMs, AfterUnlockActions deferred) {
        refreshOwners(nowMs);
        mShards.forEach(
                (shard, local) -> {
                    forward(nowMs, shard, local, deferred);
                    maintainReplica(nowMs, shard, local, deferred);
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
                (shard, local) -> {
                    local.mOwner = mOwners.owner(shard);
                    local.mBackup =
                            local.isOwnedBy(mSelf) ? mOwners.backup(shard) : Optional.empty();
                });
    }

    private void forward(long nowMs, int shard, LocalShard local, AfterUnlockActions deferred) {
        ShardOutbox outbox = local.mOutbox;
        if (!mSettingsMatch.getAsBoolean() || outbox.isEmpty()) {
            return;
        }
        boolean owned = local.isOwnedBy(mSelf);
        if (!owned && !outbox.appendsDirectly(nowMs)) {
            outbox.sendTo(nowMs, local.mOwner.orElseThrow(), deferred);
            return;
        }
        ShardReplica replica = replica(nowMs, shard, local);
        if (owned && replica.failingForMs(nowMs) >= PLATFORM_UNREACHABLE_MS) {
            local.mBackup.ifPresent(b -> outbox.sendTo(nowMs, b, deferred));
        } else if (owned || replica.isHealthy()) {
            outbox.drainTo(nowMs, replica, deferred);
        }
        replica.step(nowMs, deferred);
    }

    private ShardReplica replica(long nowMs, int shard, LocalShard local) {
        local.mUsedMs = nowMs;
        if (local.mReplica.isEmpty()) {
            local.mReplica =
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
        return local.mReplica.get();
    }

    /**
     * Opens the replica of an owned shard, closes an unused one, and starts what is due in the
     * others.
     */
    private void maintainReplica(
            long nowMs, int shard, LocalShard local, AfterUnlockActions deferred) {
        boolean owned = local.isOwnedBy(mSelf);
        if (local.mReplica.isEmpty()) {
            if (owned && mSettingsMatch.getAsBoolean() && loadingCount() < MAX_LOADING) {
                replica(nowMs, shard, local).step(nowMs, deferred);
            }
            return;
        }
        ShardReplica replica = local.mReplica.get();
        if (!owned && nowMs - local.mUsedMs > REPLICA_IDLE_MS && replica.isIdle()) {
            local.mReplica = Optional.empty();
            return;
        }
        if (replica.failingForMs(nowMs) >= PLATFORM_UNREACHABLE_MS) {
            local.mOutbox.addFirst(replica.removeLocalEntries());
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

    /** Receives entries that another VM submits to this one as the owner of their shard. */
    void onSubmission(
            long nowMs,
            SubmitEntries message,
            Consumer<PeerMessage> reply,
            AfterUnlockActions deferred) {
        List<RequestEntry> entries = new ArrayList<>();
        message.entries().forEach(t -> EntryCodec.decode(t).forEach(entries::add));
        LocalShard local = mShards.get(message.shard());
        if (!mSettingsMatch.getAsBoolean()
                || local == null
                || entries.isEmpty()
                || entries.size() != message.entries().size()) {
            reject(reply, deferred);
            return;
        }
        ShardReplica replica = replica(nowMs, message.shard(), local);
        boolean full =
                replica.pendingCount() + entries.size() > mSettings.backlog().maxOwnerEntries();
        if (full || replica.failingForMs(nowMs) >= MAX_DECISION_MS) {
            reject(reply, deferred);
            return;
        }
        PendingSubmission submission = new PendingSubmission(entries.size(), nowMs, reply);
        mSubmissions.add(submission);
        for (int i = 0; i < entries.size(); i++) {
            int index = i;
            PendingEntry pending =
                    new PendingEntry(
                            entries.get(i),
                            message.entries().get(i),
                            false,
                            (atMs, decision) ->
                                    mLockRunner.runLocked(
                                            d -> submission.onDecision(index, decision, d)));
            replica.submit(nowMs, pending, deferred);
        }
    }

    /** Rejects entries of another VM. */
    static void reject(Consumer<PeerMessage> reply, AfterUnlockActions deferred) {
        deferred.add(() -> reply.accept(new EntriesRefused(MAX_DECISION_MS)));
    }

    /** Returns whether no entry, of this VM or of another one, waits in a replica. */
    boolean isIdle() {
        return mShards.values().stream()
                .flatMap(p -> p.mReplica.stream())
                .allMatch(ShardReplica::isIdle);
    }
}
