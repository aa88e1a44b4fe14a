package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Follows the log on the platform, starting from the newest snapshot: by a watch if this VM is the
 * watcher of its failure domain, otherwise by polling at long intervals.
 *
 * <p>Invariant: at most one call is in progress. Not thread-safe: guarded by the lock of {@link
 * ConfigStore}.
 */
final class LogFollower {
    private static final int READ_LIMIT = 32;
    private static final long NO_VERSION = -1;
    private static final String PAST_ALL_KEYS = ConfigState.LOG_PREFIX + "/~~";

    private final ConfigState mState;
    private final ConfigRoles mRoles;
    private final ConfigSnapshots mSnapshots;
    private boolean mCallInProgress;
    private boolean mReadDue = true;
    private boolean mReachedEnd;
    private long mWatchVersion = NO_VERSION;
    private long mNextCallMs;
    private long mNextPollMs;
    private OptionalLong mLastConfirmedMs = OptionalLong.empty();

    LogFollower(ConfigState state, ConfigRoles roles, ConfigSnapshots snapshots) {
        mState = state;
        mRoles = roles;
        mSnapshots = snapshots;
    }

    /** Returns whether the log has been read up to its end at least once. */
    boolean reachedEnd() {
        return mReachedEnd;
    }

    /** Returns when the platform last answered with the end of the log, in milliseconds. */
    OptionalLong lastConfirmedMs() {
        return mLastConfirmedMs;
    }

    boolean watching() {
        return mWatchVersion != NO_VERSION;
    }

    void tick(long nowMs, Outbox out) {
        if (mCallInProgress || nowMs < mNextCallMs) {
            return;
        }
        if (mState.isSnapshotNeeded()) {
            loadSnapshot(nowMs, out);
        } else if (mReadDue) {
            read(nowMs, out);
        } else if (!mRoles.isWatcher()) {
            mWatchVersion = NO_VERSION;
            scheduleRead(nowMs);
        } else if (mWatchVersion == NO_VERSION) {
            findWatchVersion(nowMs, out);
        } else {
            watch(nowMs, out);
        }
    }

    private void scheduleRead(long nowMs) {
        if (nowMs >= mNextPollMs) {
            long pollMs = mState.mSettings.pollIntervalMs();
            mNextPollMs = nowMs + pollMs / 2 + mState.mRandom.nextInt((int) pollMs);
            mReadDue = true;
        }
    }

    private void scheduleRetry(long nowMs) {
        long retryMs = mState.mSettings.retryDelayMs();
        mNextCallMs = nowMs + retryMs / 2 + mState.mRandom.nextInt((int) retryMs);
    }

    private void loadSnapshot(long nowMs, Outbox out) {
        mCallInProgress = true;
        out.add(
                () ->
                        mSnapshots.load(
                                nowMs,
                                (atMs, loaded) ->
                                        mState.mLockGuard.run(
                                                atMs, o -> onSnapshotLoaded(atMs, loaded))));
    }

    private void onSnapshotLoaded(
            long nowMs, Either<Failure, Optional<ConfigSnapshots.HashedSnapshot>> loaded) {
        mCallInProgress = false;
        if (loaded.isLeft()) {
            scheduleRetry(nowMs);
            return;
        }
        loaded.get().ifPresent(mState::reset);
        mState.onSnapshotLoaded();
        mReadDue = true;
    }

    private void read(long nowMs, Outbox out) {
        mCallInProgress = true;
        long from = mState.mHistory.revision() + 1;
        out.add(
                () ->
                        mState.mLog.read(
                                nowMs,
                                from,
                                READ_LIMIT,
                                (atMs, batches) ->
                                        mState.mLockGuard.run(
                                                atMs, o -> onLogRead(atMs, batches))));
    }

    private void onLogRead(long nowMs, Either<Failure, List<LogBatch>> batches) {
        mCallInProgress = false;
        if (batches.isLeft()) {
            if (batches.getLeft().kind() == ErrorKind.REVISION_CONFLICT) {
                mState.requireSnapshot();
            }
            scheduleRetry(nowMs);
            return;
        }
        batches.get().forEach(mState::apply);
        mReadDue = batches.get().size() >= READ_LIMIT;
        mReachedEnd |= !mReadDue;
        mLastConfirmedMs = OptionalLong.of(nowMs);
    }

    private void findWatchVersion(long nowMs, Outbox out) {
        mCallInProgress = true;
        PlatformCall call =
                new PlatformCall.ListObjects(ConfigState.LOG_PREFIX + "/", PAST_ALL_KEYS, 1);
        out.add(
                () ->
                        mState.mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) ->
                                        mState.mLockGuard.run(
                                                atMs, o -> onWatchVersionFound(atMs, reply))));
    }

    private void onWatchVersionFound(long nowMs, PlatformReply reply) {
        mCallInProgress = false;
        if (!(reply instanceof PlatformReply.Listed listed)) {
            scheduleRetry(nowMs);
            return;
        }
        mWatchVersion = listed.storeVersion();
        mReadDue = true;
    }

    private void watch(long nowMs, Outbox out) {
        mCallInProgress = true;
        PlatformCall call =
                new PlatformCall.Watch(
                        ConfigState.LOG_PREFIX + "/",
                        mWatchVersion,
                        mState.mSettings.maxWatchWait());
        out.add(
                () ->
                        mState.mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) ->
                                        mState.mLockGuard.run(
                                                atMs, o -> onWatchReply(atMs, reply, o))));
    }

    private void onWatchReply(long nowMs, PlatformReply reply, Outbox out) {
        mCallInProgress = false;
        if (reply instanceof PlatformReply.Changed changed) {
            mWatchVersion = Math.max(mWatchVersion, changed.upToVersion());
            mLastConfirmedMs = OptionalLong.of(nowMs);
            changed.changes().forEach(this::applyChange);
            tick(nowMs, out);
            return;
        }
        if (reply instanceof PlatformReply.WatchGap) {
            mWatchVersion = NO_VERSION;
        }
        scheduleRetry(nowMs);
    }

    private void applyChange(PlatformReply.Change change) {
        if (change.value().isEmpty() || !isBatchKey(change.key())) {
            return;
        }
        Either<Failure, LogBatch> batch = Json.decode(change.value().get(), LogBatch.class);
        if (batch.isLeft() || mState.apply(batch.get()) == ConfigHistory.Outcome.GAP) {
            mReadDue = true;
        }
    }

    private static boolean isBatchKey(String key) {
        return Character.isDigit(key.charAt(key.length() - 1));
    }
}
