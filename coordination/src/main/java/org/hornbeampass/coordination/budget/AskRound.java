package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * One round of asking peers for tokens, one peer at a time.
 *
 * <p>Peers that did not reply last time are asked after all others. Not thread-safe; guarded by its
 * organisation's lock.
 */
final class AskRound {
    private static final int MAX_PEERS = 8;

    private final Deque<VmId> mRemainingPeers = new ArrayDeque<>();
    private boolean mInFlight;
    private boolean mRunning;
    private final Set<VmId> mUnresponsivePeers;
    private VmId mAskedPeer;
    private boolean mTokensReceived;
    private boolean mFailed;
    private long mNextStartMs;

    /**
     * Creates a round that is not running.
     *
     * @param unresponsivePeers the peers that did not reply when they were last asked, shared by
     *     all rounds of this VM; thread-safe
     */
    AskRound(Set<VmId> unresponsivePeers) {
        mUnresponsivePeers = unresponsivePeers;
    }

    boolean inFlight() {
        return mInFlight;
    }

    boolean running() {
        return mRunning;
    }

    /** Returns whether the last round ended as failed: requests waited and no peer gave tokens. */
    boolean failed() {
        return mFailed;
    }

    boolean mayStart(long nowMs) {
        return !mRunning && nowMs >= mNextStartMs;
    }

    void start(List<VmId> peers) {
        mRemainingPeers.clear();
        Stream.concat(
                        peers.stream().filter(p -> !mUnresponsivePeers.contains(p)),
                        peers.stream().filter(mUnresponsivePeers::contains))
                .limit(MAX_PEERS)
                .forEach(mRemainingPeers::add);
        mRunning = true;
        mTokensReceived = false;
    }

    /**
     * Returns the next peer to ask and marks an ask as in flight; empty at the end of the round.
     */
    Optional<VmId> nextPeer() {
        VmId peer = mRemainingPeers.poll();
        mInFlight = peer != null;
        mAskedPeer = peer;
        return Optional.ofNullable(peer);
    }

    /**
     * Ends the ask in flight. A peer that did not reply is asked after all others until it replies
     * to an ask.
     */
    void onAskEnded(boolean replied) {
        mInFlight = false;
        if (mAskedPeer == null) {
            return;
        }
        if (replied) {
            mUnresponsivePeers.remove(mAskedPeer);
        } else {
            mUnresponsivePeers.add(mAskedPeer);
        }
        mAskedPeer = null;
    }

    /** Records that a peer gave tokens in this round. */
    void onTokensReceived() {
        mTokensReceived = true;
    }

    /** Returns whether any peer gave tokens in this round. */
    boolean anyTokensReceived() {
        return mTokensReceived;
    }

    /**
     * Ends a running round if no ask is in flight, because its tokens are no longer needed. The
     * next round starts with the first peer again.
     */
    void endIfIdle(long nowMs) {
        if (mRunning && !mInFlight) {
            end(nowMs, false);
        }
    }

    void end(long nextMs, boolean failed) {
        mRemainingPeers.clear();
        mInFlight = false;
        mRunning = false;
        mFailed = failed;
        mNextStartMs = nextMs;
    }
}
