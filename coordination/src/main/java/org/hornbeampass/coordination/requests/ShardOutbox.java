package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.RetryPolicy;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One VM's entries of one shard on their way to the shard's owner.
 *
 * <p>Invariants: an entry stays here until its decision is known, so what a lost message or a dying
 * owner takes away is sent again; at most {@value #MAX_OPEN} messages are open; where the owner
 * can't be reached, or refuses for long, the VM appends to the log itself, and asks the owner again
 * later. Sending again is safe, since an entry is decided as the first time.
 *
 * <p>Not thread-safe; the ledger's lock guards it.
 */
final class ShardOutbox {
    private static final RetryPolicy BACKOFF = new RetryPolicy(50, 1_000, Integer.MAX_VALUE);
    private static final int MAX_OPEN = 4;
    private static final int MAX_ENTRIES = 1_000;
    private static final int MAX_BYTES = 256 << 10;
    private static final long REPLY_TIMEOUT_MS = 1_000;
    private static final long UNREACHABLE_MS = 1_000;
    private static final long REFUSED_MS = 8_000;
    private static final long DIRECT_MS = 5_000;

    private final int mShard;
    private final PeerNetwork mPeers;
    private final Deferred.Guard mGuard;
    private final SplittableRandom mRandom;
    private final Deque<Proposal> mQueue = new ArrayDeque<>();

    private int mOpenMessages;
    private int mFailures;
    private long mNextTryMs = Long.MIN_VALUE;
    private long mUnreachableSinceMs = Long.MAX_VALUE;
    private long mRefusedSinceMs = Long.MAX_VALUE;
    private long mDirectUntilMs = Long.MIN_VALUE;

    ShardOutbox(int shard, PeerNetwork peers, Deferred.Guard guard, SplittableRandom random) {
        mShard = shard;
        mPeers = peers;
        mGuard = guard;
        mRandom = random;
    }

    void add(Proposal proposal) {
        mQueue.addLast(proposal);
    }

    boolean isEmpty() {
        return mQueue.isEmpty();
    }

    /** Returns whether this VM appends to the log itself for now, though another VM owns it. */
    boolean direct(long nowMs) {
        return nowMs < mDirectUntilMs;
    }

    /** Puts entries back to the front, in their order. */
    void addFirst(List<Proposal> proposals) {
        for (int i = proposals.size() - 1; i >= 0; i--) {
            mQueue.addFirst(proposals.get(i));
        }
    }

    /** Hands all waiting entries to this VM's own copy of the shard. */
    void drainTo(long nowMs, ShardReplica replica, Deferred deferred) {
        while (!mQueue.isEmpty()) {
            replica.submit(nowMs, mQueue.removeFirst(), deferred);
        }
    }

    /** Sends waiting entries to the owner where no message is open. */
    void sendTo(long nowMs, VmId owner, Deferred deferred) {
        if (mOpenMessages >= MAX_OPEN || mQueue.isEmpty() || nowMs < mNextTryMs) {
            return;
        }
        List<Proposal> sent = new ArrayList<>();
        int bytes = 0;
        while (!mQueue.isEmpty() && sent.size() < MAX_ENTRIES && bytes < MAX_BYTES) {
            Proposal next = mQueue.removeFirst();
            sent.add(next);
            bytes += next.bytes();
        }
        mOpenMessages++;
        SubmitEntries message =
                new SubmitEntries(mShard, sent.stream().map(Proposal::text).toList());
        deferred.add(
                () ->
                        mPeers.request(
                                nowMs,
                                owner.name(),
                                message,
                                REPLY_TIMEOUT_MS,
                                (atMs, reply) ->
                                        mGuard.locked(d -> replied(atMs, sent, reply, d))));
    }

    private void replied(
            long nowMs,
            List<Proposal> sent,
            Either<Failure, PeerMessage> reply,
            Deferred deferred) {
        mOpenMessages--;
        if (reply.isRight()
                && reply.get() instanceof EntriesDecided decided
                && decided.decisions().size() == sent.size()) {
            answered();
            for (int i = 0; i < sent.size(); i++) {
                Proposal proposal = sent.get(i);
                EntryDecision decision = decided.decisions().get(i);
                deferred.add(() -> proposal.done().accept(nowMs, decision));
            }
            return;
        }
        addFirst(sent);
        mFailures++;
        mNextTryMs = nowMs + BACKOFF.waitMs(mFailures, mRandom);
        boolean refused = reply.isRight() && reply.get() instanceof EntriesRefused;
        noteFailure(nowMs, refused);
    }

    private void answered() {
        mFailures = 0;
        mUnreachableSinceMs = Long.MAX_VALUE;
        mRefusedSinceMs = Long.MAX_VALUE;
    }

    private void noteFailure(long nowMs, boolean refused) {
        if (refused) {
            mUnreachableSinceMs = Long.MAX_VALUE;
            mRefusedSinceMs = Math.min(mRefusedSinceMs, nowMs);
        } else {
            mUnreachableSinceMs = Math.min(mUnreachableSinceMs, nowMs - REPLY_TIMEOUT_MS);
        }
        boolean unreachable =
                mUnreachableSinceMs <= nowMs && nowMs - mUnreachableSinceMs >= UNREACHABLE_MS;
        boolean refuses = mRefusedSinceMs <= nowMs && nowMs - mRefusedSinceMs >= REFUSED_MS;
        if (unreachable || refuses) {
            mDirectUntilMs = nowMs + DIRECT_MS + mRandom.nextLong(DIRECT_MS);
            mUnreachableSinceMs = Long.MAX_VALUE;
            mRefusedSinceMs = Long.MAX_VALUE;
        }
    }
}
