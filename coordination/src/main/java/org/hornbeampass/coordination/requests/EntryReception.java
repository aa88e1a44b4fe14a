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
final class EntryReception {
    private final EntryDecision[] mDecisions;
    private final Consumer<PeerMessage> mReply;
    private final long mReceivedMs;
    private int mMissing;
    private boolean mAnswered;

    EntryReception(int entries, long receivedMs, Consumer<PeerMessage> reply) {
        mDecisions = new EntryDecision[entries];
        mMissing = entries;
        mReceivedMs = receivedMs;
        mReply = reply;
    }

    /** Takes in one decision; answers once it was the last one missing. */
    void decided(int index, EntryDecision decision, Deferred deferred) {
        if (mDecisions[index] != null) {
            return;
        }
        mDecisions[index] = decision;
        mMissing--;
        if (mMissing == 0 && !mAnswered) {
            mAnswered = true;
            List<EntryDecision> all = new ArrayList<>(List.of(mDecisions));
            deferred.add(() -> mReply.accept(new EntriesDecided(all)));
        }
    }

    /** Refuses where the decisions take too long; returns whether the message is answered. */
    boolean answeredOrRefused(long nowMs, long holdMs, Deferred deferred) {
        if (!mAnswered && nowMs - mReceivedMs >= holdMs) {
            mAnswered = true;
            deferred.add(() -> mReply.accept(new EntriesRefused(holdMs)));
        }
        return mAnswered;
    }
}
