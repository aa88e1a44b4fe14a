package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.state.Failure;

/**
 * Writes a snapshot to the platform after a number of changes, on the VM chosen for it, and then
 * truncates the log below the previous snapshot.
 *
 * <p>Invariant: the log is truncated only below a snapshot that is stored on the platform. Not
 * thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class SnapshotWriter {
    private static final long RETRY_DELAY_MS = 10_000;

    private final ConfigState mState;
    private final ConfigRoles mRoles;
    private final ConfigSnapshots mSnapshots;
    private long mWrittenRevision;
    private boolean mWriteInProgress;
    private long mNextWriteMs;

    SnapshotWriter(ConfigState state, ConfigRoles roles, ConfigSnapshots snapshots) {
        mState = state;
        mRoles = roles;
        mSnapshots = snapshots;
    }

    void tick(long nowMs, Outbox out) {
        long due = mWrittenRevision + mState.mSettings.changesPerSnapshot();
        boolean isDue =
                !mWriteInProgress
                        && nowMs >= mNextWriteMs
                        && mState.mHistory.revision() >= due
                        && mRoles.isSnapshotWriter();
        if (!isDue) {
            return;
        }
        mWriteInProgress = true;
        ConfigSnapshots.HashedSnapshot loaded =
                new ConfigSnapshots.HashedSnapshot(
                        mState.mHistory.snapshot(), mState.mHistory.hash());
        out.add(
                () ->
                        mSnapshots.write(
                                nowMs,
                                loaded,
                                (atMs, manifest) ->
                                        mState.mLockGuard.run(
                                                atMs, o -> onWritten(atMs, manifest, o))));
    }

    private void onWritten(
            long nowMs, Either<Failure, ConfigSnapshots.Manifest> manifest, Outbox out) {
        mWriteInProgress = false;
        if (manifest.isLeft()) {
            mNextWriteMs = nowMs + RETRY_DELAY_MS;
            return;
        }
        mWrittenRevision = manifest.get().parts().revision();
        manifest.get()
                .previous()
                .ifPresent(
                        p ->
                                out.add(
                                        () ->
                                                mState.mLog.truncate(
                                                        nowMs,
                                                        p.revision(),
                                                        2 * mState.mSettings.changesPerSnapshot(),
                                                        (atMs, deleted) -> {})));
    }
}
