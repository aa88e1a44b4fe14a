package org.hornbeampass.router.daemon;

import org.hornbeampass.router.relay.LogFields;
import org.hornbeampass.router.relay.RelayLog;
import org.hornbeampass.state.VmId;

import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Tells other VMs how new one of this VM's views of the store is, and asks one whose view is newer.
 *
 * <p>Watches wait long, since each is a call that is charged, and a VM may be turned away by the
 * store while others are served. Every message of the membership bears the newest revision that its
 * sender has seen of each view, so that a VM hears within about a second of a change that it has
 * missed. One revision for both views would not do: a VM that has seen a later change of an
 * upstream would take itself for informed about a configuration that it has missed.
 *
 * <p>Invariant: a revision that this VM has seen itself leads to no question. Confined to one event
 * loop.
 */
final class RevisionTracker {
    /**
     * How long this VM's own watch may be behind another VM's, in milliseconds, before that one is
     * asked: a slow store takes some 350 for an answer, and a question would ask for the same.
     */
    private static final long GRACE_MS = 450;

    /**
     * For how long a newer view that was heard of counts, in milliseconds: a copy of the largest
     * configuration over two small links takes 4 s at most. A revision that never comes, of what
     * was removed meanwhile, counts no longer.
     */
    private static final long BEHIND_MS = 10_000;

    /** A newer view that was heard of. */
    private record Newer(VmId vm, long revision, long heardMs) {}

    private final String mView;
    private final RelayLog mLog;
    private final BiConsumer<Long, Long> mAnnounce;
    private final BiConsumer<Long, String> mAsk;
    private long mNewest;
    private long mHeard;
    private long mHeardMs;
    private Optional<Newer> mNewer = Optional.empty();

    /**
     * Makes the news of one view.
     *
     * @param view the view's name, for the log
     * @param log takes a line for each question
     * @param announce tells others a revision, at a time in milliseconds
     * @param ask asks the VM of a name for its view, at a time in milliseconds
     */
    RevisionTracker(
            String view,
            RelayLog log,
            BiConsumer<Long, Long> announce,
            BiConsumer<Long, String> ask) {
        mView = view;
        mLog = log;
        mAnnounce = announce;
        mAsk = ask;
    }

    /** Notes a change that this VM has taken in, whichever way it came. */
    void onChange(long nowMs, long revision) {
        if (revision <= mNewest) {
            return;
        }
        mNewest = revision;
        mAnnounce.accept(nowMs, revision);
    }

    /** Takes how new another VM's view is. */
    void onPeerRevision(long nowMs, VmId from, long revision) {
        if (revision > mHeard) {
            mHeard = revision;
            mHeardMs = nowMs;
        }
        boolean known = mNewer.filter(n -> n.revision() >= revision).isPresent();
        if (revision <= mNewest || known) {
            return;
        }
        long sinceMs = mNewer.map(Newer::heardMs).orElse(nowMs);
        mNewer = Optional.of(new Newer(from, revision, sinceMs));
    }

    /** Returns whether another VM was heard of lately whose view is newer than this one's. */
    boolean isBehind(long nowMs) {
        return mHeard > mNewest && nowMs - mHeardMs < BEHIND_MS;
    }

    /** Asks the VM whose view has been newer than this one's for too long. */
    void tick(long nowMs) {
        if (mNewer.isEmpty()) {
            return;
        }
        Newer newer = mNewer.get();
        if (newer.revision() <= mNewest) {
            mNewer = Optional.empty();
            return;
        }
        if (nowMs - newer.heardMs() < GRACE_MS) {
            return;
        }
        mNewer = Optional.empty();
        mLog.logStateChange(
                nowMs,
                "view-behind",
                new LogFields()
                        .add("view", mView)
                        .add("peer", newer.vm().name())
                        .add("revision", newer.revision())
                        .add("own_revision", mNewest)
                        .add("heard_ago_ms", nowMs - newer.heardMs()));
        mAsk.accept(nowMs, newer.vm().name());
    }
}
