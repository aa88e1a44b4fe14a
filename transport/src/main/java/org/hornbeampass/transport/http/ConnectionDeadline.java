package org.hornbeampass.transport.http;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.Optional;

/**
 * Decides when a caller has been too slow.
 *
 * <p>Invariant: in each phase the deadline is set once, at its start, so that a caller can't move
 * it by sending a byte now and then; only the taking of answer bytes moves it. Not thread-safe:
 * used on one event loop.
 */
final class ConnectionDeadline {
    private static final long LINGER_MS = 1_000;
    private static final long MIN_TICK_MS = 10;
    private static final long MAX_TICK_MS = 1_000;
    private static final int TICKS_PER_TIMEOUT = 4;

    private final HttpServerSettings.Timeouts mTimeouts;
    private Phase mPhase = Phase.IDLE;
    private long mDeadlineMs;
    private long mUntakenBytes;

    /** What the connection waits for. */
    private enum Phase {
        IDLE,
        HEAD,
        BODY,
        ANSWERING,
        LINGERING
    }

    ConnectionDeadline(HttpServerSettings.Timeouts timeouts) {
        mTimeouts = timeouts;
    }

    /** Returns how often to check, in milliseconds. */
    long tickMs() {
        long shortest =
                Math.min(
                        Math.min(mTimeouts.headMs(), mTimeouts.bodyMs()),
                        Math.min(mTimeouts.idleMs(), mTimeouts.stallMs()));
        return Math.max(MIN_TICK_MS, Math.min(MAX_TICK_MS, shortest / TICKS_PER_TIMEOUT));
    }

    void idle(long nowMs) {
        enter(Phase.IDLE, nowMs + mTimeouts.idleMs());
    }

    /** Starts the head's deadline at its first byte. */
    void bytesArrived(long nowMs) {
        if (mPhase == Phase.IDLE) {
            enter(Phase.HEAD, nowMs + mTimeouts.headMs());
        }
    }

    void readingBody(long nowMs) {
        enter(Phase.BODY, nowMs + mTimeouts.bodyMs());
    }

    void answering(long nowMs) {
        enter(Phase.ANSWERING, nowMs + mTimeouts.stallMs());
        mUntakenBytes = 0;
    }

    void lingering(long nowMs) {
        enter(Phase.LINGERING, nowMs + LINGER_MS);
    }

    /** Returns whether a caller who is overdue waits for an answer, and can be given one. */
    boolean answerable() {
        return mPhase == Phase.HEAD || mPhase == Phase.BODY;
    }

    /**
     * Returns why the connection ends, if it is overdue.
     *
     * @param nowMs the present time in milliseconds
     * @param writable whether the caller keeps up with its answer
     * @param untakenBytes how many bytes it must take to keep up again
     */
    Optional<Failure> check(long nowMs, boolean writable, long untakenBytes) {
        if (mPhase == Phase.ANSWERING && (writable || untakenBytes != mUntakenBytes)) {
            mUntakenBytes = untakenBytes;
            mDeadlineMs = nowMs + mTimeouts.stallMs();
        }
        if (nowMs < mDeadlineMs) {
            return Optional.empty();
        }
        return Optional.of(
                Failure.of(
                        ErrorKind.DEADLINE_EXCEEDED_NOT_RUN,
                        "the request did not arrive in time; send it whole and at once"));
    }

    private void enter(Phase phase, long deadlineMs) {
        mPhase = phase;
        mDeadlineMs = deadlineMs;
    }
}
