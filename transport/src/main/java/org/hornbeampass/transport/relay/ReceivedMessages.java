package org.hornbeampass.transport.relay;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;

import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.coordination.buffer.BufferReader;
import org.hornbeampass.coordination.buffer.ReaderAccount;
import org.hornbeampass.transport.Clock;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Optional;

/**
 * The messages of a caller's connection that were decoded and not handled yet, since their request
 * waits for its handover or for the answer of the one before.
 *
 * <p>Invariant: the bytes of their bodies count in the bound of the VM, if there is one. Confined
 * to the channel's event loop.
 */
final class ReceivedMessages implements BufferReader {
    /** Reading stops while more messages than this wait for an answer, as with pipelining. */
    private static final int MAX_WAITING = 64;

    private final ArrayDeque<HttpObject> mMessages = new ArrayDeque<>();
    private final Clock mClock;
    private final Optional<ReaderAccount> mAccount;
    private final Runnable mOnHeldUp;
    private long mBytes;
    private boolean mHeldUp;

    /**
     * Creates an empty queue.
     *
     * @param limit bounds what is held, if present
     * @param clock the source of the present time
     * @param onHeldUp called when {@link #isHeldUp} has changed
     */
    ReceivedMessages(Optional<BufferLimit> limit, Clock clock, Runnable onHeldUp) {
        mClock = clock;
        mAccount = limit.map(l -> l.open(this));
        mOnHeldUp = onHeldUp;
    }

    /** Adds a message; it counts from the next {@link #count} on, if it is still here. */
    void add(HttpObject message) {
        mMessages.add(message);
        mBytes += bodyBytes(message);
    }

    /** Removes the first message, which is then the receiver's to count and to release. */
    HttpObject poll() {
        HttpObject message = mMessages.remove();
        mBytes -= bodyBytes(message);
        if (mAccount.isPresent() && mAccount.get().bytes() > mBytes) {
            mAccount.get().update(mClock.nowMs(), mBytes, true);
        }
        return message;
    }

    /** Counts what was added and not removed again. */
    void count() {
        if (mAccount.isPresent() && mAccount.get().bytes() != mBytes) {
            mAccount.get().update(mClock.nowMs(), mBytes, false);
        }
    }

    private static long bodyBytes(HttpObject message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    HttpObject peek() {
        return mMessages.element();
    }

    boolean isEmpty() {
        return mMessages.isEmpty();
    }

    /** Returns whether as many messages wait as may. */
    boolean isFull() {
        return mMessages.size() > MAX_WAITING;
    }

    /** Returns whether no more is to be read, since the VM holds almost as much as it may. */
    boolean isHeldUp() {
        return mHeldUp;
    }

    Collection<HttpObject> messages() {
        return Collections.unmodifiableCollection(mMessages);
    }

    @Override
    public boolean holdsUpSender() {
        return true;
    }

    @Override
    public void setSenderPaused(boolean paused) {
        mHeldUp = paused;
        mOnHeldUp.run();
    }

    @Override
    public void measure(long nowMs) {}

    /** The request is handed over soon, and refused then if the VM still holds too much. */
    @Override
    public boolean close(long nowMs, long heldBytes, long stalledMs) {
        return false;
    }
}
