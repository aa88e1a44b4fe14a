package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.buffer.BufferReader;
import org.hornbeampass.coordination.buffer.ReaderAccount;

import java.util.Optional;

/**
 * Counts what is buffered of an answer until it, or an event of it, is whole, for loads under which
 * many upstreams answer slowly at once.
 *
 * <p>Only counted: the upstream is awaited, not the caller, so neither a pause nor a close would be
 * due to a slow reader, and what one answer buffers is bounded. Confined to one event loop.
 */
final class AnswerHold implements BufferReader {
    private final RelayContext mContext;
    private final Optional<ReaderAccount> mAccount;

    AnswerHold(RelayContext context) {
        mContext = context;
        mAccount = context.bufferLimit().map(l -> l.open(this));
    }

    /** States how many bytes are buffered now. */
    void setBytes(long bytes) {
        if (mAccount.isPresent() && mAccount.get().bytes() != bytes) {
            mAccount.get().update(mContext.clock().nowMs(), bytes, false);
        }
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
        return false;
    }
}
