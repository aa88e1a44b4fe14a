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
 * owner takes away is sent again; at most {@value #MAX_OPEN_MESSAGES} messages are open; where the
 * owner can't be reached, or refuses for long, the VM appends to the log itself, and asks the owner
 * again later. Sending again is safe, since an entry is decided as the first time.
 *
 * <p>Not thread-safe; the ledger's lock guards it.
 */
final class ShardOutbox {
    private static final RetryPolicy BACKOFF = new RetryPolicy(50, 1_000, Integer.MAX_VALUE);
    private static final int MAX_OPEN_MESSAGES = 4;
    private static final int MAX_MESSAGE_ENTRIES = 1_000;
    private static final int MAX_MESSAGE_BYTES = 256 << 10;
    private static final long REPLY_TIMEOUT_MS = 1_000;
    private static final long UNREACHABLE_AFTER_MS = 1_000;
    private static final long MAX_REJECTING_MS = 8_000;
    private static final long DIRECT_APPEND_MS = 5_000;

    private final int mShard;
    private final PeerNetwork mPeers;
    private final DeferredActions.LockRunner mLockRunner;
    private final SplittableRandom mRandom;
    private final Deque<PendingEntry> mQueue = new ArrayDeque<>();

    private int mOpenMessages;
    private int mFailures;
    private long mNextTryMs = Long.MIN_VALUE;
    private long mUnreachableSinceMs = Long.MAX_VALUE;
    private long mRejectingSinceMs = Long.MAX_VALUE;
    private long mDirectUntilMs = Long.MIN_VALUE;

    ShardOutbox(
            int shard,
            PeerNetwork peers,
            DeferredActions.LockRunner guard,
            SplittableRandom random) {
        mShard = shard;
        mPeers = peers;
        mLockRunner = guard;
        mRandom = random;
    }

    void add(PendingEntry proposal) {
        mQueue.addLast(proposal);
    }

    boolean isEmpty() {
        return mQueue.isEmpty();
    }

    /** Returns whether this VM appends to the log itself for now, though another VM owns it. */
    boolean appendsDirectly(long nowMs) {
        return nowMs < mDirectUntilMs;
    }

    /** Puts entries back to the front, in their order. */
    void addFirst(List<PendingEntry> proposals) {
        for (int i = proposals.size() - 1; i >= 0; i--) {
            mQueue.addFirst(proposals.get(i));
        }
    }

    /** Hands all waiting entries to this VM's own copy of the shard. */
    void drainTo(long nowMs, ShardReplica replica, DeferredActions deferred) {
        while (!mQueue.isEmpty()) {
            replica.submit(nowMs, mQueue.removeFirst(), deferred);
        }
    }

    /** Sends waiting entries to the owner where no message is open. */
    void sendTo(long nowMs, VmId owner, DeferredActions deferred) {
        if (mOpenMessages >= MAX_OPEN_MESSAGES || mQueue.isEmpty() || nowMs < mNextTryMs) {
            return;
        }
        List<PendingEntry> sent = new ArrayList<>();
        int bytes = 0;
        while (!mQueue.isEmpty()
                && sent.size() < MAX_MESSAGE_ENTRIES
                && bytes < MAX_MESSAGE_BYTES) {
            PendingEntry next = mQueue.removeFirst();
            sent.add(next);
            bytes += next.estimatedBytes();
        }
        mOpenMessages++;
        SubmitEntries message =
                new SubmitEntries(mShard, sent.stream().map(PendingEntry::text).toList());
        deferred.add(
                () ->
                        mPeers.request(
                                nowMs,
                                owner.name(),
                                message,
                                REPLY_TIMEOUT_MS,
                                (atMs, reply) ->
                                        mLockRunner.runLocked(d -> onReply(atMs, sent, reply, d))));
    }

    private void onReply(
            long nowMs,
            List<PendingEntry> sent,
            Either<Failure, PeerMessage> reply,
            DeferredActions deferred) {
        mOpenMessages--;
        if (reply.isRight()
                && reply.get() instanceof EntriesDecided decided
                && decided.decisions().size() == sent.size()) {
            resetFailures();
            for (int i = 0; i < sent.size(); i++) {
                PendingEntry proposal = sent.get(i);
                EntryDecision decision = decided.decisions().get(i);
                deferred.add(() -> proposal.done().accept(nowMs, decision));
            }
            return;
        }
        addFirst(sent);
        mFailures++;
        mNextTryMs = nowMs + BACKOFF.waitMs(mFailures, mRandom);
        boolean refused = reply.isRight() && reply.get() instanceof EntriesRefused;
        recordFailure(nowMs, refused);
    }

    private void resetFailures() {
        mFailures = 0;
        mUnreachableSinceMs = Long.MAX_VALUE;
        mRejectingSinceMs = Long.MAX_VALUE;
    }

    private void recordFailure(long nowMs, boolean refused) {
        if (refused) {
            mUnreachableSinceMs = Long.MAX_VALUE;
            mRejectingSinceMs = Math.min(mRejectingSinceMs, nowMs);
        } else {
            mUnreachableSinceMs = Math.min(mUnreachableSinceMs, nowMs - REPLY_TIMEOUT_MS);
        }
        boolean unreachable =
                mUnreachableSinceMs <= nowMs && nowMs - mUnreachableSinceMs >= UNREACHABLE_AFTER_MS;
        boolean refuses =
                mRejectingSinceMs <= nowMs && nowMs - mRejectingSinceMs >= MAX_REJECTING_MS;
        if (unreachable || refuses) {
            mDirectUntilMs = nowMs + DIRECT_APPEND_MS + mRandom.nextLong(DIRECT_APPEND_MS);
            mUnreachableSinceMs = Long.MAX_VALUE;
            mRejectingSinceMs = Long.MAX_VALUE;
        }
    }
}
