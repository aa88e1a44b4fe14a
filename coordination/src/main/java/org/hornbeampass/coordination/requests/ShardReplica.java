package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.log.AppendResult;
import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.log.ShardLog;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * The replica of one shard on this VM: it catches up with the log, then appends entries in batches.
 *
 * <p>Invariants: entries are decided by applying them at their position in the log, and are
 * answered only after that; at most one write is open, and it is retried with the same sequence and
 * batch until it is decided, so a lost reply can't put an entry into the log unnoticed. A VM whose
 * state is outdated, because it was paused or another VM writes too, loses the race for the
 * sequence, applies the winning batch and continues after it.
 *
 * <p>Not thread-safe; guarded by the ledger's lock.
 */
final class ShardReplica {
    private static final RetryPolicy BACKOFF = new RetryPolicy(50, 2_000, Integer.MAX_VALUE);
    static final String LOG_PREFIX = "requests/";
    private static final int PAGE_BATCHES = 8;
    private static final int TRUNCATE_PAGE_BATCHES = 20;

    private final Storage mStorage;
    private final VmId mSelf;
    private final LedgerSettings mSettings;
    private final AfterUnlockActions.LockRunner mLockRunner;
    private final LongSupplier mWriterSequences;
    private final SplittableRandom mRandom;
    private final Deque<PendingEntry> mPending = new ArrayDeque<>();
    private final List<PendingEntry> mInFlight = new ArrayList<>();

    /**
     * The storage of a shard.
     *
     * @param platform used for reads that entries wait for
     * @param background used for checkpoints
     * @param log the log of the shard
     * @param keys the keys of the shard's checkpoint
     */
    record Storage(Platform platform, Platform background, ShardLog log, CheckpointKeys keys) {
        /** Returns the storage of one shard. */
        static Storage of(Platform platform, Platform background, int shard) {
            ShardLog log = new ShardLog(platform, LOG_PREFIX + shard);
            return new Storage(platform, background, log, new CheckpointKeys(shard));
        }

        private ShardLog backgroundLog() {
            return new ShardLog(background, LOG_PREFIX + keys.shard());
        }
    }

    private ShardState mState;
    private LogBatch mOpenBatch;
    private long mOpenBatchMs;
    private boolean mLoaded;
    private boolean mCaughtUp;
    private boolean mCheckpointing;
    private long mTruncateBelow;
    private boolean mCallOpen;
    private long mPendingBytes;
    private int mUrgentCount;
    private int mFailures;
    private long mFailingSinceMs;
    private long mNextTryMs = Long.MIN_VALUE;
    private long mLastWriteMs = Long.MIN_VALUE;
    private boolean mWriteNow;

    ShardReplica(
            Storage storage,
            VmId self,
            LedgerSettings settings,
            AfterUnlockActions.LockRunner lockRunner,
            LongSupplier writerSequences,
            SplittableRandom random) {
        mStorage = storage;
        mSelf = self;
        mSettings = settings;
        mLockRunner = lockRunner;
        mWriterSequences = writerSequences;
        mRandom = random;
        mState = new ShardState(settings.retention());
    }

    /** Returns whether the replica has caught up and the last call to the platform succeeded. */
    boolean isHealthy() {
        return mCaughtUp && mFailures == 0;
    }

    /**
     * Returns for how long the calls of this replica to the platform have failed, in milliseconds.
     */
    long failingForMs(long nowMs) {
        return mFailures == 0 ? 0 : nowMs - mFailingSinceMs;
    }

    /**
     * Removes all waiting entries and returns those of this VM, each once; those of other VMs are
     * dropped, since these VMs still hold them. The write of an open batch is still retried, so its
     * entries may be decided twice, with the same result.
     */
    List<PendingEntry> removeLocalEntries() {
        List<PendingEntry> own = new ArrayList<>(mInFlight);
        own.addAll(mPending);
        own.removeIf(p -> !p.local());
        mInFlight.replaceAll(PendingEntry::asRemote);
        mPending.clear();
        mPendingBytes = 0;
        mUrgentCount = 0;
        return own;
    }

    /** Returns whether no entry waits here and no checkpoint is being written. */
    boolean isIdle() {
        return mPending.isEmpty() && mInFlight.isEmpty() && !mCheckpointing;
    }

    /** Returns the number of entries that wait here. */
    int pendingCount() {
        return mPending.size() + mInFlight.size();
    }

    /** Returns the state after the last batch that was applied. */
    ShardState state() {
        return mState;
    }

    /** Adds an entry; answers it at once if it is already decided. */
    void submit(long nowMs, PendingEntry pending, AfterUnlockActions deferred) {
        if (mCaughtUp && answerIfDecided(nowMs, pending, deferred)) {
            return;
        }
        mPending.addLast(pending);
        mPendingBytes += pending.estimatedBytes();
        mUrgentCount += pending.urgent() ? 1 : 0;
        step(nowMs, deferred);
    }

    private boolean answerIfDecided(long nowMs, PendingEntry pending, AfterUnlockActions deferred) {
        return mState.finalDecision(pending.entry())
                .map(
                        decision -> {
                            deferred.add(() -> pending.done().accept(nowMs, decision));
                            return true;
                        })
                .orElse(false);
    }

    /** Starts the next call to the platform, if one is due. */
    void step(long nowMs, AfterUnlockActions deferred) {
        if (mCallOpen || nowMs < mNextTryMs) {
            return;
        }
        if (!mLoaded) {
            loadCheckpoint(nowMs, deferred);
        } else if (!mCaughtUp) {
            readNextPage(nowMs, deferred);
        } else if (mOpenBatch != null) {
            append(nowMs, deferred);
        } else if (isWriteDue(nowMs) && fillBatch(nowMs, deferred)) {
            append(nowMs, deferred);
        }
    }

    private boolean isWriteDue(long nowMs) {
        if (mPending.isEmpty()) {
            return false;
        }
        LedgerSettings.Commit commit = mSettings.commit();
        long interval = mUrgentCount > 0 ? commit.claimIntervalMs() : commit.billIntervalMs();
        return mWriteNow
                || mPendingBytes >= commit.maxBatchBytes()
                || mLastWriteMs == Long.MIN_VALUE
                || nowMs - mLastWriteMs >= interval;
    }

    /** Moves as many waiting entries as fit into a new batch; returns whether there are any. */
    private boolean fillBatch(long nowMs, AfterUnlockActions deferred) {
        int bytes = 0;
        while (!mPending.isEmpty()) {
            PendingEntry next = mPending.peekFirst();
            if (bytes > 0 && bytes + next.estimatedBytes() > mSettings.commit().maxBatchBytes()) {
                break;
            }
            removePending();
            if (!answerIfDecided(nowMs, next, deferred)) {
                bytes += next.estimatedBytes();
                mInFlight.add(next);
            }
        }
        mWriteNow = false;
        if (mInFlight.isEmpty()) {
            return false;
        }
        mOpenBatchMs = Math.max(nowMs, mState.clock().timeMs());
        List<String> texts = new ArrayList<>(mInFlight.size() + 1);
        texts.add(EntryCodec.encodeTime(mOpenBatchMs));
        mInFlight.forEach(p -> texts.add(p.text()));
        mOpenBatch =
                new LogBatch(mState.nextSequence(), mSelf, mWriterSequences.getAsLong(), texts);
        return true;
    }

    private void removePending() {
        PendingEntry first = mPending.removeFirst();
        mPendingBytes -= first.estimatedBytes();
        mUrgentCount -= first.urgent() ? 1 : 0;
    }

    private void append(long nowMs, AfterUnlockActions deferred) {
        mCallOpen = true;
        mLastWriteMs = nowMs;
        LogBatch batch = mOpenBatch;
        deferred.add(
                () ->
                        mStorage.log()
                                .tryAppend(
                                        nowMs,
                                        batch.sequence(),
                                        batch,
                                        (atMs, result) ->
                                                mLockRunner.runLocked(
                                                        d -> onAppended(atMs, result, d))));
    }

    private void onAppended(
            long nowMs, Either<Failure, AppendResult> result, AfterUnlockActions deferred) {
        mCallOpen = false;
        if (result.isLeft()) {
            onFailure(nowMs, result.getLeft());
            return;
        }
        mFailures = 0;
        mOpenBatch = null;
        if (result.get() instanceof AppendResult.Lost lost) {
            requeue();
            mState.apply(lost.winner());
            mWriteNow = true;
        } else {
            applyOwn(nowMs, deferred);
        }
        step(nowMs, deferred);
    }

    private void applyOwn(long nowMs, AfterUnlockActions deferred) {
        mState.beginBatch(mOpenBatchMs);
        for (PendingEntry pending : mInFlight) {
            EntryDecision decision = mState.apply(pending.entry());
            deferred.add(() -> pending.done().accept(nowMs, decision));
        }
        mInFlight.clear();
        mState.endBatch();
    }

    private void onFailure(long nowMs, Failure failure) {
        mFailingSinceMs = mFailures == 0 ? nowMs : mFailingSinceMs;
        mFailures++;
        mNextTryMs = nowMs + BACKOFF.waitMs(mFailures, mRandom);
        if (failure.kind() == ErrorKind.REVISION_CONFLICT) {
            requeue();
            mOpenBatch = null;
            mCaughtUp = false;
            mLoaded = false;
            mState = new ShardState(mSettings.retention());
        }
    }

    /** Returns the entries of a batch that was not appended to the front of the queue. */
    private void requeue() {
        for (int i = mInFlight.size() - 1; i >= 0; i--) {
            PendingEntry pending = mInFlight.get(i);
            mPending.addFirst(pending);
            mPendingBytes += pending.estimatedBytes();
            mUrgentCount += pending.urgent() ? 1 : 0;
        }
        mInFlight.clear();
    }

    private void loadCheckpoint(long nowMs, AfterUnlockActions deferred) {
        mCallOpen = true;
        BiConsumer<Long, Either<Failure, ShardState>> done =
                (atMs, loaded) -> mLockRunner.runLocked(d -> onLoaded(atMs, loaded, d));
        CheckpointLoader loader =
                new CheckpointLoader(
                        mStorage.platform(), mStorage.keys(), mSettings.retention(), done);
        deferred.add(() -> loader.start(nowMs));
    }

    private void onLoaded(
            long nowMs, Either<Failure, ShardState> loaded, AfterUnlockActions deferred) {
        mCallOpen = false;
        if (loaded.isLeft()) {
            onFailure(nowMs, loaded.getLeft());
            return;
        }
        mFailures = 0;
        mState = loaded.get();
        mLoaded = true;
        step(nowMs, deferred);
    }

    /**
     * Writes the newest checkpoint, if it is not written yet, or else truncates the log below the
     * last written one, a page at a time.
     *
     * @param owned whether this VM owns the shard; other VMs leave checkpoints to the owner
     */
    void maintainCheckpoint(long nowMs, boolean owned, AfterUnlockActions deferred) {
        if (!mCaughtUp || mCheckpointing) {
            return;
        }
        Optional<Checkpoint> newest = mState.pollCheckpoint();
        if (!owned) {
            return;
        }
        if (newest.isPresent()) {
            mCheckpointing = true;
            CheckpointWriter writer =
                    new CheckpointWriter(
                            mStorage.background(),
                            mStorage.keys(),
                            newest.get(),
                            (atMs, below) ->
                                    mLockRunner.runLocked(d -> onCheckpointWritten(below)));
            deferred.add(() -> writer.start(nowMs));
        } else if (mTruncateBelow > 0) {
            mCheckpointing = true;
            long below = mTruncateBelow;
            deferred.add(
                    () ->
                            mStorage.backgroundLog()
                                    .truncate(
                                            nowMs,
                                            below,
                                            TRUNCATE_PAGE_BATCHES,
                                            (atMs, found) ->
                                                    mLockRunner.runLocked(
                                                            d -> onTruncated(found))));
        }
    }

    private void onCheckpointWritten(long truncateBelow) {
        mCheckpointing = false;
        mTruncateBelow = Math.max(mTruncateBelow, truncateBelow);
    }

    private void onTruncated(Either<Failure, Integer> found) {
        mCheckpointing = false;
        if (found.isLeft() || found.get() < TRUNCATE_PAGE_BATCHES) {
            mTruncateBelow = 0;
        }
    }

    private void readNextPage(long nowMs, AfterUnlockActions deferred) {
        mCallOpen = true;
        long from = mState.nextSequence();
        deferred.add(
                () ->
                        mStorage.log()
                                .read(
                                        nowMs,
                                        from,
                                        PAGE_BATCHES,
                                        (atMs, batches) ->
                                                mLockRunner.runLocked(
                                                        d -> onPageRead(atMs, batches, d))));
    }

    private void onPageRead(
            long nowMs, Either<Failure, List<LogBatch>> batches, AfterUnlockActions deferred) {
        mCallOpen = false;
        if (batches.isLeft()) {
            onFailure(nowMs, batches.getLeft());
            return;
        }
        mFailures = 0;
        batches.get().forEach(mState::apply);
        mCaughtUp = batches.get().isEmpty();
        step(nowMs, deferred);
    }
}
