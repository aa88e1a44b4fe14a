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

    private final Deque<VmId> mLeft = new ArrayDeque<>();
    private boolean mInFlight;
    private boolean mRunning;
    private final Set<VmId> mSilent;
    private VmId mAsked;
    private boolean mGiven;
    private boolean mFailed;
    private long mNextMs;

    /**
     * Creates a round that is not running.
     *
     * @param silent the peers that gave no reply last, shared by all rounds of this VM; thread-safe
     */
    AskRound(Set<VmId> silent) {
        mSilent = silent;
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
        return !mRunning && nowMs >= mNextMs;
    }

    void start(List<VmId> peers) {
        mLeft.clear();
        Stream.concat(
                        peers.stream().filter(p -> !mSilent.contains(p)),
                        peers.stream().filter(mSilent::contains))
                .limit(MAX_PEERS)
                .forEach(mLeft::add);
        mRunning = true;
        mGiven = false;
    }

    /** Takes the next peer to ask; empty at the end of the round. */
    Optional<VmId> next() {
        VmId peer = mLeft.poll();
        mInFlight = peer != null;
        mAsked = peer;
        return Optional.ofNullable(peer);
    }

    /** Ends an ask; a peer that gave no reply is asked after all others from now on. */
    void answered(boolean replied) {
        mInFlight = false;
        if (mAsked == null) {
            return;
        }
        if (replied) {
            mSilent.remove(mAsked);
        } else {
            mSilent.add(mAsked);
        }
        mAsked = null;
    }

    /** Notes that a peer gave tokens in this round. */
    void given() {
        mGiven = true;
    }

    /** Returns whether any peer gave tokens in this round. */
    boolean anyGiven() {
        return mGiven;
    }

    /**
     * Ends a round between two asks, since nobody waits for it any more; a later need starts with
     * the first peer again.
     */
    void endUnneeded(long nowMs) {
        if (mRunning && !mInFlight) {
            end(nowMs, false);
        }
    }

    void end(long nextMs, boolean failed) {
        mLeft.clear();
        mInFlight = false;
        mRunning = false;
        mFailed = failed;
        mNextMs = nextMs;
    }
}
