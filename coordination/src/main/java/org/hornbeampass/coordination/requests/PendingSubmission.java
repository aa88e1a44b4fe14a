package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One peer's message on its way to being answered by a shard's owner.
 *
 * <p>Invariant: answered once, with all decisions or with a refusal; the entries are decided either
 * way. Not thread-safe; the ledger's lock guards it.
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

    /** Takes in one decision; answers once it was the last one missing. */
    void onDecision(int index, EntryDecision decision, DeferredActions deferred) {
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

    /** Refuses where the decisions take too long; returns whether the message is answered. */
    boolean rejectIfOverdue(long nowMs, long holdMs, DeferredActions deferred) {
        if (!mAnswered && nowMs - mReceivedMs >= holdMs) {
            mAnswered = true;
            deferred.add(() -> mReply.accept(new EntriesRefused(holdMs)));
        }
        return mAnswered;
    }
}
