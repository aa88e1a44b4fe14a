package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Collects the decisions on the entries that a peer submitted to this VM as the owner of a shard.
 *
 * <p>Invariant: the peer is answered once, with all decisions or with a rejection; the entries are
 * decided either way. Not thread-safe; guarded by the ledger's lock.
 */
final class PendingSubmission {
    private final EntryDecision[] mDecisions;
    private final Consumer<PeerMessage> mReply;
    private final long mReceivedMs;
    private int mUndecided;
    private boolean mAnswered;

    PendingSubmission(int entries, long receivedMs, Consumer<PeerMessage> reply) {
        mDecisions = new EntryDecision[entries];
        mUndecided = entries;
        mReceivedMs = receivedMs;
        mReply = reply;
    }

    /** Records one decision; sends the reply once all entries are decided. */
    void onDecision(int index, EntryDecision decision, AfterUnlockActions deferred) {
        if (mDecisions[index] != null) {
            return;
        }
        mDecisions[index] = decision;
        mUndecided--;
        if (mUndecided == 0 && !mAnswered) {
            mAnswered = true;
            List<EntryDecision> all = new ArrayList<>(List.of(mDecisions));
            deferred.add(() -> mReply.accept(new EntriesDecided(all)));
        }
    }

    /**
     * Rejects the submission if it was received {@code maxWaitMs} ago or earlier and is not decided
     * yet; returns whether it has been answered.
     */
    boolean rejectIfOverdue(long nowMs, long maxWaitMs, AfterUnlockActions deferred) {
        if (!mAnswered && nowMs - mReceivedMs >= maxWaitMs) {
            mAnswered = true;
            deferred.add(() -> mReply.accept(new EntriesRefused(maxWaitMs)));
        }
        return mAnswered;
    }
}
