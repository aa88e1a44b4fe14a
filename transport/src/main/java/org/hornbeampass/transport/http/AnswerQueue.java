package org.hornbeampass.transport.http;

import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Parts of answers on their way to a connection's event loop, and whether more may follow now.
 *
 * <p>Invariant: whoever was refused by {@link #hasRoom} is reported by the next {@link
 * #takeRefused} that follows the parts' removal, so that no producer waits for ever. Thread-safe:
 * any thread adds and asks; only the event loop removes.
 */
final class AnswerQueue {
    /** From how many waiting bytes on producers are refused. */
    static final long MAX_BYTES = 128 << 10;

    private final Queue<AnswerPart> mParts = new ManyToOneConcurrentLinkedQueue<>();
    private final AtomicLong mBytes = new AtomicLong();
    private final AtomicBoolean mRefused = new AtomicBoolean();

    void add(AnswerPart part) {
        mBytes.addAndGet(part.size());
        mParts.add(part);
    }

    /** Returns the oldest part and removes it; only on the event loop. */
    Optional<AnswerPart> poll() {
        Optional<AnswerPart> part = Optional.ofNullable(mParts.poll());
        part.ifPresent(p -> mBytes.addAndGet(-p.size()));
        return part;
    }

    /** Returns whether a producer may go on; a refusal is remembered. */
    boolean hasRoom() {
        if (mBytes.get() < MAX_BYTES) {
            return true;
        }
        // Noted before the second look: either this thread sees the parts gone, or the event loop
        // sees the note after it has removed them.
        mRefused.set(true);
        return mBytes.get() < MAX_BYTES;
    }

    /** Returns whether a producer was refused since the last call. */
    boolean takeRefused() {
        return mRefused.getAndSet(false);
    }
}
