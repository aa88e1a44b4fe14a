package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.state.Failure;

/**
 * Writes a snapshot to the platform every so many changes, on the one VM that is chosen for it, and
 * truncates the log below the snapshot before.
 *
 * <p>Invariant: the log is truncated only below a snapshot that stands on the platform. Not
 * thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class SnapshotWriter {
    private static final long RETRY_MS = 10_000;

    private final ConfigCore mCore;
    private final ConfigRoles mRoles;
    private final ConfigSnapshots mSnapshots;
    private long mWritten;
    private boolean mBusy;
    private long mNotBeforeMs;

    SnapshotWriter(ConfigCore core, ConfigRoles roles, ConfigSnapshots snapshots) {
        mCore = core;
        mRoles = roles;
        mSnapshots = snapshots;
    }

    void tick(long nowMs, Outbox out) {
        long due = mWritten + mCore.mSettings.changesPerSnapshot();
        boolean writes =
                !mBusy
                        && nowMs >= mNotBeforeMs
                        && mCore.mHistory.revision() >= due
                        && mRoles.writesSnapshots();
        if (!writes) {
            return;
        }
        mBusy = true;
        ConfigSnapshots.Loaded loaded =
                new ConfigSnapshots.Loaded(mCore.mHistory.snapshot(), mCore.mHistory.hash());
        out.add(
                () ->
                        mSnapshots.write(
                                nowMs,
                                loaded,
                                (atMs, manifest) ->
                                        mCore.mGuard.run(atMs, o -> written(atMs, manifest, o))));
    }

    private void written(
            long nowMs, Either<Failure, ConfigSnapshots.Manifest> manifest, Outbox out) {
        mBusy = false;
        if (manifest.isLeft()) {
            mNotBeforeMs = nowMs + RETRY_MS;
            return;
        }
        mWritten = manifest.get().parts().revision();
        manifest.get()
                .previous()
                .ifPresent(
                        p ->
                                out.add(
                                        () ->
                                                mCore.mLog.truncate(
                                                        nowMs,
                                                        p.revision(),
                                                        2 * mCore.mSettings.changesPerSnapshot(),
                                                        (atMs, deleted) -> {})));
    }
}
