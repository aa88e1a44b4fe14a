package org.hornbeampass.router.serve;

import org.hornbeampass.coordination.limit.AdmissionQueue;
import org.hornbeampass.coordination.limit.AdmissionRequest;
import org.hornbeampass.coordination.limit.OrganisationLimits;
import org.hornbeampass.router.flow.AdmissionPort;
import org.hornbeampass.state.Failure;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;

/**
 * Admits one request: checks its organisation's limits and then enters the queue of its target.
 *
 * <p>Invariant: what was acquired from the limits and the queue is released exactly once.
 * Thread-safe: the queue may reply on any thread while the request leaves.
 */
final class RequestGate implements AdmissionPort {
    private final OrganisationLimits mLimits;
    private final AdmissionQueue mQueue;
    private final AdmissionRequest mRequest;
    private final AtomicReference<State> mState = new AtomicReference<>(State.OUTSIDE);
    private volatile long mTicket;
    private volatile boolean mStarted;

    /** The position of the request relative to the queue. */
    private enum State {
        OUTSIDE,
        WAITING,
        ADMITTED,
        LEFT
    }

    RequestGate(OrganisationLimits limits, AdmissionQueue queue, AdmissionRequest request) {
        mLimits = limits;
        mQueue = queue;
        mRequest = request;
    }

    @Override
    public void enter(long nowMs, BiConsumer<Long, Optional<Failure>> done) {
        Optional<Failure> limited = mLimits.tryStart(nowMs, mRequest.organisation());
        if (limited.isPresent()) {
            done.accept(nowMs, limited);
            return;
        }
        mStarted = true;
        mState.set(State.WAITING);
        mTicket = mQueue.submit(nowMs, mRequest, (t, shed) -> onQueueReply(t, shed, done));
    }

    private void onQueueReply(
            long nowMs, Optional<Failure> shed, BiConsumer<Long, Optional<Failure>> done) {
        State next = shed.isPresent() ? State.OUTSIDE : State.ADMITTED;
        if (mState.compareAndSet(State.WAITING, next)) {
            done.accept(nowMs, shed);
        } else if (shed.isEmpty()) {
            mQueue.release(nowMs);
        }
    }

    @Override
    public void leave(long nowMs) {
        State before = mState.getAndSet(State.LEFT);
        if (before == State.ADMITTED) {
            mQueue.release(nowMs);
        } else if (before == State.WAITING) {
            mQueue.abandon(mTicket);
        }
        if (mStarted) {
            mStarted = false;
            mLimits.onEnded(mRequest.organisation());
        }
    }
}
