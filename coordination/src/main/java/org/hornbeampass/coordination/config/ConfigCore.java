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
 * What the parts of the configuration store share.
 *
 * <p>Not thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class ConfigCore {
    static final String LOG_PREFIX = "config/log";

    final VmId mSelf;
    final Platform mPlatform;
    final ShardLog mLog;
    final PeerNetwork mNetwork;
    final ConfigSettings mSettings;
    final Random mRandom;
    final Outbox.Guard mGuard;
    final Supplier<MembershipView> mView;
    final ConfigHistory mHistory;
    private long mNewestHeard;
    private long mForeign;
    private boolean mChanged;
    private boolean mSnapshotWanted = true;

    ConfigCore(
            VmId self,
            Platform platform,
            PeerNetwork network,
            Supplier<MembershipView> view,
            ConfigSettings settings,
            Random random,
            Outbox.Guard guard) {
        mSelf = self;
        mPlatform = platform;
        mLog = new ShardLog(platform, LOG_PREFIX);
        mNetwork = network;
        mView = view;
        mSettings = settings;
        mRandom = random;
        mGuard = guard;
        mHistory = new ConfigHistory(settings.retainedEntries());
    }

    long newestHeard() {
        return Math.max(mNewestHeard, mHistory.revision());
    }

    void heard(long revision) {
        mNewestHeard = Math.max(mNewestHeard, revision);
    }

    /** Returns how many entries of another history were refused. */
    long foreign() {
        return mForeign;
    }

    void sawForeign() {
        mForeign++;
    }

    ConfigHistory.Outcome apply(String text) {
        ConfigHistory.Outcome outcome = mHistory.apply(text);
        if (outcome == ConfigHistory.Outcome.APPLIED) {
            mChanged = true;
        } else if (outcome == ConfigHistory.Outcome.FOREIGN) {
            mForeign++;
        }
        return outcome;
    }

    /** Applies a batch of the platform's log, which holds one change. */
    ConfigHistory.Outcome apply(LogBatch batch) {
        heard(batch.sequence());
        return apply(batch.entries().isEmpty() ? "" : batch.entries().get(0));
    }

    void reset(ConfigSnapshots.Loaded loaded) {
        heard(loaded.snapshot().revision());
        if (mHistory.reset(loaded.snapshot(), loaded.hash())) {
            mChanged = true;
        }
    }

    /** Notes that the platform's log no longer reaches back to this VM's revision. */
    void wantSnapshot() {
        mSnapshotWanted = true;
    }

    boolean snapshotWanted() {
        return mSnapshotWanted;
    }

    void snapshotLoaded() {
        mSnapshotWanted = false;
    }

    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }
}
