package org.hornbeampass.coordination.config;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.log.ShardLog;
import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.member.MembershipView;

import java.util.Random;
import java.util.function.Supplier;

/**
 * Holds the state that the parts of {@link ConfigStore} share: their collaborators, the applied
 * history and the newest known revision.
 *
 * <p>Not thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class ConfigState {
    static final String LOG_PREFIX = "config/log";

    final VmId mSelf;
    final Platform mPlatform;
    final ShardLog mLog;
    final PeerNetwork mNetwork;
    final ConfigSettings mSettings;
    final Random mRandom;
    final Outbox.LockedRunner mLockGuard;
    final Supplier<MembershipView> mView;
    final ConfigHistory mHistory;
    private long mNewestKnownRevision;
    private long mForeignEntries;
    private boolean mChanged;
    private boolean mSnapshotNeeded = true;

    ConfigState(
            VmId self,
            Platform platform,
            PeerNetwork network,
            Supplier<MembershipView> view,
            ConfigSettings settings,
            Random random,
            Outbox.LockedRunner guard) {
        mSelf = self;
        mPlatform = platform;
        mLog = new ShardLog(platform, LOG_PREFIX);
        mNetwork = network;
        mView = view;
        mSettings = settings;
        mRandom = random;
        mLockGuard = guard;
        mHistory = new ConfigHistory(settings.retainedEntries());
    }

    long newestKnownRevision() {
        return Math.max(mNewestKnownRevision, mHistory.revision());
    }

    void noteRevision(long revision) {
        mNewestKnownRevision = Math.max(mNewestKnownRevision, revision);
    }

    /** Returns how many entries were rejected because they belong to another history. */
    long foreignEntries() {
        return mForeignEntries;
    }

    void countForeignEntry() {
        mForeignEntries++;
    }

    ConfigHistory.Outcome apply(String text) {
        ConfigHistory.Outcome outcome = mHistory.apply(text);
        if (outcome == ConfigHistory.Outcome.APPLIED) {
            mChanged = true;
        } else if (outcome == ConfigHistory.Outcome.FOREIGN) {
            mForeignEntries++;
        }
        return outcome;
    }

    /** Applies a batch of the log on the platform, which holds exactly one change. */
    ConfigHistory.Outcome apply(LogBatch batch) {
        noteRevision(batch.sequence());
        return apply(batch.entries().isEmpty() ? "" : batch.entries().get(0));
    }

    void reset(ConfigSnapshots.HashedSnapshot loaded) {
        noteRevision(loaded.snapshot().revision());
        if (mHistory.reset(loaded.snapshot(), loaded.hash())) {
            mChanged = true;
        }
    }

    /**
     * Requires a snapshot: the log on the platform no longer holds the changes after this VM's
     * revision.
     */
    void requireSnapshot() {
        mSnapshotNeeded = true;
    }

    boolean isSnapshotNeeded() {
        return mSnapshotNeeded;
    }

    void onSnapshotLoaded() {
        mSnapshotNeeded = false;
    }

    boolean getAndClearChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }
}
