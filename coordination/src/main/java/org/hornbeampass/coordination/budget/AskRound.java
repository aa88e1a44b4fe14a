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
 * <p>Not thread-safe; guarded by its organisation's lock.
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
     * @param unresponsivePeers the peers that gave no reply last, shared by all rounds of this VM;
     *     thread-safe
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

    /** Returns whether the last round ended and no peer gave anything. */
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

    /** Takes the next peer to ask; empty at the end of the round. */
    Optional<VmId> nextPeer() {
        VmId peer = mRemainingPeers.poll();
        mInFlight = peer != null;
        mAskedPeer = peer;
        return Optional.ofNullable(peer);
    }

    /** Ends an ask; a peer that gave no reply is asked after all others from now on. */
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

    /** Notes that a peer gave tokens in this round. */
    void onTokensReceived() {
        mTokensReceived = true;
    }

    /** Returns whether any peer gave tokens in this round. */
    boolean anyTokensReceived() {
        return mTokensReceived;
    }

    /**
     * Ends a round between two asks, since nobody waits for it any more; a later need starts with
     * the first peer again.
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
