package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.platform.StoreVersion;
import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.ViewKind;
import org.hornbeampass.state.VmId;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Announces the revision of one of this VM's views of the store to other VMs, and requests the
 * changes from a VM whose view is newer.
 *
 * <p>Watches wait long, since each is a call that is charged, and the store may reject the calls of
 * one VM while it serves others. Every membership message therefore carries the newest revision
 * that its sender has seen of each view, so that a VM learns within about a second of a change that
 * it has missed. One revision for both views would not suffice: a VM that has seen a later change
 * of an upstream would consider itself up to date with a configuration that it has missed.
 *
 * <p>Invariant: a revision that this VM has seen itself is never requested. Confined to one event
 * loop.
 */
final class ViewRevisionTracker {
    /**
     * Time for which this VM's own watch may be behind another VM before the changes are requested
     * from that VM, in milliseconds: a slow store takes some 350 ms for an answer, and an earlier
     * request would fetch the same changes twice.
     */
    private static final long PULL_DELAY_MS = 450;

    /**
     * Time after which a newer revision reported by another VM expires, in milliseconds: a copy of
     * the largest configuration over two slow links takes 4 s at most. A revision that never
     * arrives, because its object was removed meanwhile, is ignored afterwards.
     */
    private static final long BEHIND_EXPIRY_MS = 10_000;

    /** A newer view that another VM has reported. */
    private record NewerView(VmId vm, long revision, long receivedMs) {}

    private final ViewKind mView;
    private final RelayLog mLog;
    private final StoreViews.Announcer mAnnouncer;
    private final LongSupplier mUpToRevision;
    private final BiConsumer<Long, String> mRequest;
    private long mOwnRevision;
    private long mPeerRevision;
    private long mPeerRevisionMs;
    private Optional<NewerView> mNewer = Optional.empty();

    /**
     * Creates the tracker of one view.
     *
     * @param view the view
     * @param log receives a line for each request
     * @param announcer announces a revision to other VMs
     * @param upToRevision returns the revision of the store that this VM's view reflects
     * @param request requests the view of the VM of a name; receives the time in milliseconds first
     */
    ViewRevisionTracker(
            ViewKind view,
            RelayLog log,
            StoreViews.Announcer announcer,
            LongSupplier upToRevision,
            BiConsumer<Long, String> request) {
        mView = view;
        mLog = log;
        mAnnouncer = announcer;
        mUpToRevision = upToRevision;
        mRequest = request;
    }

    /** Records a change that this VM has received from the store or from another VM. */
    void onChange(long nowMs, long revision) {
        if (revision <= mOwnRevision) {
            return;
        }
        mOwnRevision = revision;
        mAnnouncer.announce(nowMs, mView, revision);
    }

    /** Receives the revision of another VM's view. */
    void onPeerRevision(long nowMs, VmId from, long revision) {
        if (revision > mPeerRevision) {
            mPeerRevision = revision;
            mPeerRevisionMs = nowMs;
        }
        boolean known = mNewer.filter(n -> n.revision() >= revision).isPresent();
        if (revision <= knownRevision() || known) {
            return;
        }
        long sinceMs = mNewer.map(NewerView::receivedMs).orElse(nowMs);
        mNewer = Optional.of(new NewerView(from, revision, sinceMs));
    }

    /**
     * Announces the revision that the view reflects if the store was restored, so that other VMs
     * learn of it even if nothing in the view differs.
     */
    private void announceEra(long nowMs) {
        long upToRevision = mUpToRevision.getAsLong();
        if (StoreVersion.era(upToRevision) > StoreVersion.era(mOwnRevision)) {
            onChange(nowMs, upToRevision);
        }
    }

    /**
     * Returns the revision up to which this VM knows the view: that of the last change, or a later
     * one up to which there was none, as after the store was restored.
     */
    private long knownRevision() {
        return Math.max(mOwnRevision, mUpToRevision.getAsLong());
    }

    /** Returns whether another VM has lately reported a view that is newer than this VM's. */
    boolean isBehind(long nowMs) {
        return mPeerRevision > knownRevision() && nowMs - mPeerRevisionMs < BEHIND_EXPIRY_MS;
    }

    /** Requests the changes from a VM whose view has been newer than this VM's for too long. */
    void tick(long nowMs) {
        announceEra(nowMs);
        if (mNewer.isEmpty()) {
            return;
        }
        NewerView newer = mNewer.get();
        if (newer.revision() <= knownRevision()) {
            mNewer = Optional.empty();
            return;
        }
        if (nowMs - newer.receivedMs() < PULL_DELAY_MS) {
            return;
        }
        mNewer = Optional.empty();
        mLog.logStateChange(
                nowMs,
                "view-behind",
                new LogFields()
                        .add("view", mView.label())
                        .add("peer", newer.vm().name())
                        .addVersion("revision", newer.revision())
                        .addVersion("own_revision", knownRevision())
                        .add("heard_ago_ms", nowMs - newer.receivedMs()));
        mRequest.accept(nowMs, newer.vm().name());
    }
}
