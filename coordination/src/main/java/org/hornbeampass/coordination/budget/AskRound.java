package org.hornbeampass.coordination.budget;

import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

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
    private boolean mFailed;
    private long mNextMs;

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
        peers.stream().limit(MAX_PEERS).forEach(mLeft::add);
        mRunning = true;
    }

    /** Takes the next peer to ask; empty at the end of the round. */
    Optional<VmId> next() {
        VmId peer = mLeft.poll();
        mInFlight = peer != null;
        return Optional.ofNullable(peer);
    }

    void answered() {
        mInFlight = false;
    }

    void end(long nextMs, boolean failed) {
        mLeft.clear();
        mInFlight = false;
        mRunning = false;
        mFailed = failed;
        mNextMs = nextMs;
    }
}
