package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.buffer.BufferReader;
import org.hornbeampass.coordination.buffer.ReaderAccount;
import org.hornbeampass.transport.Clock;

import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * Counts what is kept of a request's body, for loads under which many bodies are received slowly or
 * wait for an upstream at once.
 *
 * <p>Invariant: only a request whose body is still being received is refused; a whole body is
 * bounded, and its request may be running. Confined to one event loop.
 */
final class BodyHold implements BufferReader {
    private final Clock mClock;
    private final LongPredicate mRefusal;
    private final Optional<ReaderAccount> mAccount;
    private boolean mComplete;

    /**
     * Creates the count of one body.
     *
     * @param context states the bound, if any
     * @param refusal refuses the request at a time in milliseconds, if it was not sent to an
     *     upstream; returns whether it did
     */
    BodyHold(RelayContext context, LongPredicate refusal) {
        mClock = context.clock();
        mRefusal = refusal;
        mAccount = context.bufferLimit().map(l -> l.open(this));
    }

    /** Returns whether the bytes that are held have a bound. */
    boolean isBounded() {
        return mAccount.isPresent();
    }

    /** States how many bytes are kept now. */
    void setBytes(long bytes) {
        mAccount.ifPresent(a -> a.update(mClock.nowMs(), bytes, false));
    }

    /** Records that the body was received whole. */
    void onComplete() {
        mComplete = true;
    }

    @Override
    public boolean holdsUpSender() {
        return false;
    }

    @Override
    public void setSenderPaused(boolean paused) {}

    @Override
    public void measure(long nowMs) {}

    @Override
    public boolean close(long nowMs, long heldBytes, long stalledMs) {
        return !mComplete && mRefusal.test(nowMs);
    }
}
