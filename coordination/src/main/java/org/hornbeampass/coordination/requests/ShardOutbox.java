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
 * Sends the entries that this VM has for one shard to the owner of the shard.
 *
 * <p>Invariants: an entry stays here until its decision is known, so that entries that are lost
 * with a message or a crashed owner are sent again; at most {@value #MAX_OPEN_MESSAGES} messages
 * are unanswered; if the owner is unreachable, or rejects entries for a long time, this VM appends
 * to the log itself, and tries the owner again later. Sending an entry again is safe, since it gets
 * the same decision as the first time.
 *
 * <p>Not thread-safe; guarded by the ledger's lock.
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
    private final AfterUnlockActions.LockRunner mLockRunner;
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
            AfterUnlockActions.LockRunner lockRunner,
            SplittableRandom random) {
        mShard = shard;
        mPeers = peers;
        mLockRunner = lockRunner;
        mRandom = random;
    }

    void add(PendingEntry pending) {
        mQueue.addLast(pending);
    }

    boolean isEmpty() {
        return mQueue.isEmpty();
    }

    /**
     * Returns whether this VM appends to the log itself for now, though another VM owns the shard.
     */
    boolean appendsDirectly(long nowMs) {
        return nowMs < mDirectUntilMs;
    }

    /** Returns entries to the front of the queue, in their order. */
    void addFirst(List<PendingEntry> entries) {
        for (int i = entries.size() - 1; i >= 0; i--) {
            mQueue.addFirst(entries.get(i));
        }
    }

    /** Submits all waiting entries to the replica of the shard on this VM. */
    void drainTo(long nowMs, ShardReplica replica, AfterUnlockActions deferred) {
        while (!mQueue.isEmpty()) {
            replica.submit(nowMs, mQueue.removeFirst(), deferred);
        }
    }

    /**
     * Sends waiting entries to the owner, unless too many messages are unanswered or a retry is not
     * due yet.
     */
    void sendTo(long nowMs, VmId owner, AfterUnlockActions deferred) {
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
            AfterUnlockActions deferred) {
        mOpenMessages--;
        if (reply.isRight()
                && reply.get() instanceof EntriesDecided decided
                && decided.decisions().size() == sent.size()) {
            resetFailures();
            for (int i = 0; i < sent.size(); i++) {
                PendingEntry pending = sent.get(i);
                EntryDecision decision = decided.decisions().get(i);
                deferred.add(() -> pending.done().accept(nowMs, decision));
            }
            return;
        }
        addFirst(sent);
        mFailures++;
        mNextTryMs = nowMs + BACKOFF.waitMs(mFailures, mRandom);
        boolean rejected = reply.isRight() && reply.get() instanceof EntriesRefused;
        recordFailure(nowMs, rejected);
    }

    private void resetFailures() {
        mFailures = 0;
        mUnreachableSinceMs = Long.MAX_VALUE;
        mRejectingSinceMs = Long.MAX_VALUE;
    }

    private void recordFailure(long nowMs, boolean rejected) {
        if (rejected) {
            mUnreachableSinceMs = Long.MAX_VALUE;
            mRejectingSinceMs = Math.min(mRejectingSinceMs, nowMs);
        } else {
            mUnreachableSinceMs = Math.min(mUnreachableSinceMs, nowMs - REPLY_TIMEOUT_MS);
        }
        boolean unreachable =
                mUnreachableSinceMs <= nowMs && nowMs - mUnreachableSinceMs >= UNREACHABLE_AFTER_MS;
        boolean rejects =
                mRejectingSinceMs <= nowMs && nowMs - mRejectingSinceMs >= MAX_REJECTING_MS;
        if (unreachable || rejects) {
            mDirectUntilMs = nowMs + DIRECT_APPEND_MS + mRandom.nextLong(DIRECT_APPEND_MS);
            mUnreachableSinceMs = Long.MAX_VALUE;
            mRejectingSinceMs = Long.MAX_VALUE;
        }
    }
}
