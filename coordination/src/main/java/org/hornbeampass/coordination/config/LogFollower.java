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
 * Follows the platform's log: by a waiting watch where this VM is chosen to, otherwise by a slow
 * poll; begins with the newest snapshot.
 *
 * <p>Invariant: at most one call is under way. Not thread-safe: guarded by the lock of {@link
 * ConfigStore}.
 */
final class LogFollower {
    private static final int READ_LIMIT = 32;
    private static final long NO_POSITION = -1;
    private static final String PAST_ALL_KEYS = ConfigCore.LOG_PREFIX + "/~~";

    private final ConfigCore mCore;
    private final ConfigRoles mRoles;
    private final ConfigSnapshots mSnapshots;
    private boolean mBusy;
    private boolean mReadDue = true;
    private boolean mReachedEnd;
    private long mWatchFrom = NO_POSITION;
    private long mNotBeforeMs;
    private long mNextPollMs;
    private OptionalLong mConfirmedMs = OptionalLong.empty();

    LogFollower(ConfigCore core, ConfigRoles roles, ConfigSnapshots snapshots) {
        mCore = core;
        mRoles = roles;
        mSnapshots = snapshots;
    }

    /** Returns whether the log was once read up to its end. */
    boolean reachedEnd() {
        return mReachedEnd;
    }

    /** Returns when the platform last told how far the log goes, in milliseconds. */
    OptionalLong confirmedMs() {
        return mConfirmedMs;
    }

    boolean watching() {
        return mWatchFrom != NO_POSITION;
    }

    void tick(long nowMs, Outbox out) {
        if (mBusy || nowMs < mNotBeforeMs) {
            return;
        }
        if (mCore.snapshotWanted()) {
            loadSnapshot(nowMs, out);
        } else if (mReadDue) {
            read(nowMs, out);
        } else if (!mRoles.watches()) {
            mWatchFrom = NO_POSITION;
            poll(nowMs);
        } else if (mWatchFrom == NO_POSITION) {
            findPosition(nowMs, out);
        } else {
            watch(nowMs, out);
        }
    }

    private void poll(long nowMs) {
        if (nowMs >= mNextPollMs) {
            long pollMs = mCore.mSettings.pollIntervalMs();
            mNextPollMs = nowMs + pollMs / 2 + mCore.mRandom.nextInt((int) pollMs);
            mReadDue = true;
        }
    }

    private void failed(long nowMs) {
        long retryMs = mCore.mSettings.retryDelayMs();
        mNotBeforeMs = nowMs + retryMs / 2 + mCore.mRandom.nextInt((int) retryMs);
    }

    private void loadSnapshot(long nowMs, Outbox out) {
        mBusy = true;
        out.add(
                () ->
                        mSnapshots.load(
                                nowMs,
                                (atMs, loaded) ->
                                        mCore.mGuard.run(atMs, o -> snapshotLoaded(atMs, loaded))));
    }

    private void snapshotLoaded(
            long nowMs, Either<Failure, Optional<ConfigSnapshots.Loaded>> loaded) {
        mBusy = false;
        if (loaded.isLeft()) {
            failed(nowMs);
            return;
        }
        loaded.get().ifPresent(mCore::reset);
        mCore.snapshotLoaded();
        mReadDue = true;
    }

    private void read(long nowMs, Outbox out) {
        mBusy = true;
        long from = mCore.mHistory.revision() + 1;
        out.add(
                () ->
                        mCore.mLog.read(
                                nowMs,
                                from,
                                READ_LIMIT,
                                (atMs, batches) ->
                                        mCore.mGuard.run(atMs, o -> haveRead(atMs, batches))));
    }

    private void haveRead(long nowMs, Either<Failure, List<LogBatch>> batches) {
        mBusy = false;
        if (batches.isLeft()) {
            if (batches.getLeft().kind() == ErrorKind.REVISION_CONFLICT) {
                mCore.wantSnapshot();
            }
            failed(nowMs);
            return;
        }
        batches.get().forEach(mCore::apply);
        mReadDue = batches.get().size() >= READ_LIMIT;
        mReachedEnd |= !mReadDue;
        mConfirmedMs = OptionalLong.of(nowMs);
    }

    private void findPosition(long nowMs, Outbox out) {
        mBusy = true;
        PlatformCall call =
                new PlatformCall.ListObjects(ConfigCore.LOG_PREFIX + "/", PAST_ALL_KEYS, 1);
        out.add(
                () ->
                        mCore.mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) ->
                                        mCore.mGuard.run(atMs, o -> positionFound(atMs, reply))));
    }

    private void positionFound(long nowMs, PlatformReply reply) {
        mBusy = false;
        if (!(reply instanceof PlatformReply.Listed listed)) {
            failed(nowMs);
            return;
        }
        mWatchFrom = listed.storeVersion();
        mReadDue = true;
    }

    private void watch(long nowMs, Outbox out) {
        mBusy = true;
        PlatformCall call =
                new PlatformCall.Watch(
                        ConfigCore.LOG_PREFIX + "/", mWatchFrom, mCore.mSettings.maxWatchWait());
        out.add(
                () ->
                        mCore.mPlatform.submit(
                                nowMs,
                                call,
                                (atMs, reply) ->
                                        mCore.mGuard.run(atMs, o -> watched(atMs, reply, o))));
    }

    private void watched(long nowMs, PlatformReply reply, Outbox out) {
        mBusy = false;
        if (reply instanceof PlatformReply.Changed changed) {
            mWatchFrom = Math.max(mWatchFrom, changed.upToVersion());
            mConfirmedMs = OptionalLong.of(nowMs);
            changed.changes().forEach(this::applyChange);
            tick(nowMs, out);
            return;
        }
        if (reply instanceof PlatformReply.WatchGap) {
            mWatchFrom = NO_POSITION;
        }
        failed(nowMs);
    }

    private void applyChange(PlatformReply.Change change) {
        if (change.value().isEmpty() || !isBatch(change.key())) {
            return;
        }
        Either<Failure, LogBatch> batch = Json.decode(change.value().get(), LogBatch.class);
        if (batch.isLeft() || mCore.apply(batch.get()) == ConfigHistory.Outcome.GAP) {
            mReadDue = true;
        }
    }

    private static boolean isBatch(String key) {
        return Character.isDigit(key.charAt(key.length() - 1));
    }
}
