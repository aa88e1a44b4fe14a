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
 * One VM's copy of one shard: catches up with the log, then appends entries in groups.
 *
 * <p>Invariants: entries are decided by applying them at their place in the log, and are answered
 * only after that; at most one write is open, and its sequence is tried again with the same batch
 * until it is decided, so a lost reply can't put an entry into the log unnoticed. A VM whose view
 * is old, because it was paused or another VM also writes, loses the race for the sequence, applies
 * the winning batch and goes on behind it.
 *
 * <p>Not thread-safe; the ledger's lock guards it.
 */
final class ShardReplica {
    private static final RetryPolicy BACKOFF = new RetryPolicy(50, 2_000, Integer.MAX_VALUE);
    static final String LOG_PREFIX = "requests/";
    private static final int PAGE_BATCHES = 8;
    private static final int TRUNCATE_PAGE_BATCHES = 20;

    private final Storage mStorage;
    private final VmId mSelf;
    private final LedgerSettings mSettings;
    private final DeferredActions.LockRunner mLockRunner;
    private final LongSupplier mWriterSequences;
    private final SplittableRandom mRandom;
    private final Deque<PendingEntry> mPending = new ArrayDeque<>();
    private final List<PendingEntry> mInFlight = new ArrayList<>();

    /**
     * Where a shard is kept.
     *
     * @param platform for reads that entries wait for
     * @param background for checkpoints
     * @param log the shard's log
     * @param keys the keys of the shard's checkpoint
     */
    record Storage(Platform platform, Platform background, ShardLog log, CheckpointKeys keys) {
        /** Returns where one shard is kept. */
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
            DeferredActions.LockRunner guard,
            LongSupplier writerSequences,
            SplittableRandom random) {
        mStorage = storage;
        mSelf = self;
        mSettings = settings;
        mLockRunner = guard;
        mWriterSequences = writerSequences;
        mRandom = random;
        mState = new ShardState(settings.retention());
    }

    /** Returns whether the copy has caught up and the platform answered the last call. */
    boolean isHealthy() {
        return mCaughtUp && mFailures == 0;
    }

    /** Returns for how long the platform has not answered this copy's calls, in milliseconds. */
    long failingForMs(long nowMs) {
        return mFailures == 0 ? 0 : nowMs - mFailingSinceMs;
    }

    /**
     * Gives back this VM's own entries, each once, and drops those of others, which they still
     * hold. A batch whose write is open is still tried again, and its entries may be decided twice,
     * alike.
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

    /** Returns whether nothing waits here. */
    boolean isIdle() {
        return mPending.isEmpty() && mInFlight.isEmpty() && !mCheckpointing;
    }

    /** Returns how many entries wait here. */
    int pendingCount() {
        return mPending.size() + mInFlight.size();
    }

    /** Returns the state as far as it is caught up. */
    ShardState state() {
        return mState;
    }

    /** Takes an entry in; it is answered at once where it is decided already. */
    void submit(long nowMs, PendingEntry proposal, DeferredActions deferred) {
        if (mCaughtUp && answerIfDecided(nowMs, proposal, deferred)) {
            return;
        }
        mPending.addLast(proposal);
        mPendingBytes += proposal.estimatedBytes();
        mUrgentCount += proposal.urgent() ? 1 : 0;
        step(nowMs, deferred);
    }

    private boolean answerIfDecided(long nowMs, PendingEntry proposal, DeferredActions deferred) {
        return mState.finalDecision(proposal.entry())
                .map(
                        decision -> {
                            deferred.add(() -> proposal.done().accept(nowMs, decision));
                            return true;
                        })
                .orElse(false);
    }

    /** Starts the next call where one is due. */
    void step(long nowMs, DeferredActions deferred) {
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

    /** Puts as many waiting entries as fit into a new batch; returns whether there is any. */
    private boolean fillBatch(long nowMs, DeferredActions deferred) {
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

    private void append(long nowMs, DeferredActions deferred) {
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
            long nowMs, Either<Failure, AppendResult> result, DeferredActions deferred) {
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

    private void applyOwn(long nowMs, DeferredActions deferred) {
        mState.beginBatch(mOpenBatchMs);
        for (PendingEntry proposal : mInFlight) {
            EntryDecision decision = mState.apply(proposal.entry());
            deferred.add(() -> proposal.done().accept(nowMs, decision));
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

    /** Puts the entries of a batch that does not stand back to the front. */
    private void requeue() {
        for (int i = mInFlight.size() - 1; i >= 0; i--) {
            PendingEntry proposal = mInFlight.get(i);
            mPending.addFirst(proposal);
            mPendingBytes += proposal.estimatedBytes();
            mUrgentCount += proposal.urgent() ? 1 : 0;
        }
        mInFlight.clear();
    }

    private void loadCheckpoint(long nowMs, DeferredActions deferred) {
        mCallOpen = true;
        BiConsumer<Long, Either<Failure, ShardState>> done =
                (atMs, loaded) -> mLockRunner.runLocked(d -> onLoaded(atMs, loaded, d));
        CheckpointLoader loader =
                new CheckpointLoader(
                        mStorage.platform(), mStorage.keys(), mSettings.retention(), done);
        deferred.add(() -> loader.start(nowMs));
    }

    private void onLoaded(
            long nowMs, Either<Failure, ShardState> loaded, DeferredActions deferred) {
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
     * Writes the newest checkpoint where there is one that is not written yet, then truncates the
     * log below it, a page at a time.
     *
     * @param owned whether this VM owns the shard; another one leaves it to the owner
     */
    void maintainCheckpoint(long nowMs, boolean owned, DeferredActions deferred) {
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

    private void readNextPage(long nowMs, DeferredActions deferred) {
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
            long nowMs, Either<Failure, List<LogBatch>> batches, DeferredActions deferred) {
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
