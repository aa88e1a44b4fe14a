package org.hornbeampass.coordination.buffer;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the bytes that a VM holds for all slow readers together.
 *
 * <p>Invariants: the sum is that of all accounts; a sender is paused only while bytes are held for
 * its reader; above the bound readers are closed until the sum is below it, or none is left that
 * may be closed. The sum may exceed what is really held until {@link #tick}, since sockets take
 * bytes without notice. Confined to one event loop.
 */
public final class BufferLimit {
    private final SlowReaderPolicy mPolicy;
    private final Set<ReaderAccount> mHolding = new LinkedHashSet<>();
    private long mTotalBytes;
    private long mPeakBytes;
    private long mClosed;
    private int mAppliedStep;
    private boolean mApplying;
    private boolean mNoneClosable;

    /** Creates a limit of a number of bytes. */
    public BufferLimit(long boundBytes) {
        mPolicy = new SlowReaderPolicy(boundBytes);
    }

    /** Opens an account with nothing held; it needs no close once nothing is held again. */
    public ReaderAccount open(BufferReader reader) {
        return new ReaderAccount(this, reader);
    }

    /** Returns whether no new request may be taken in. */
    public boolean isFull() {
        return mPolicy.isFull(mTotalBytes);
    }

    /** Returns the most bytes that the next read of any connection may bring. */
    public int maxReadBytes() {
        return mPolicy.maxReadBytes(mTotalBytes);
    }

    /** Returns the bytes that are held. */
    public long totalBytes() {
        return mTotalBytes;
    }

    /** Returns the most bytes that were held at once since the start. */
    public long peakBytes() {
        return mPeakBytes;
    }

    /** Returns the bound. */
    public long boundBytes() {
        return mPolicy.boundBytes();
    }

    /** Returns for how many readers senders are paused. */
    public int pausedSenders() {
        return (int) mHolding.stream().filter(ReaderAccount::paused).count();
    }

    /** Returns the number of readers that were closed since the start. */
    public long closedReaders() {
        return mClosed;
    }

    /** Counts what is held anew and applies the bound; due every tenth of a second. */
    public void tick(long nowMs) {
        mNoneClosable = false;
        List.copyOf(mHolding).forEach(a -> a.reader().measure(nowMs));
        applyMarks();
        if (isFull()) {
            closeSlowest(nowMs);
        }
    }

    void onChange(long nowMs, ReaderAccount account, long bytesBefore) {
        mTotalBytes += account.bytes() - bytesBefore;
        mPeakBytes = Math.max(mPeakBytes, mTotalBytes);
        if (account.bytes() == 0) {
            mHolding.remove(account);
        } else if (bytesBefore == 0) {
            mHolding.add(account);
        }
        apply(account);
        if (mApplying) {
            return;
        }
        if (mPolicy.step(mTotalBytes) > mAppliedStep) {
            applyMarks();
        }
        if (isFull() && !mNoneClosable) {
            closeSlowest(nowMs);
        } else if (isFull() && account.bytes() > bytesBefore) {
            closeGrown(nowMs, account);
        }
    }

    /** Closes a reader that has grown since no reader could be closed. */
    private void closeGrown(long nowMs, ReaderAccount account) {
        mApplying = true;
        account.reader().measure(nowMs);
        if (isFull()) {
            close(nowMs, account);
        }
        mApplying = false;
    }

    private void close(long nowMs, ReaderAccount account) {
        if (account.bytes() > 0
                && account.reader().close(nowMs, account.bytes(), account.stalledMs(nowMs))) {
            mClosed++;
        }
    }

    private void apply(ReaderAccount account) {
        if (account.reader().holdsUpSender()) {
            account.setPaused(mPolicy.pauses(mTotalBytes, account.bytes(), account.paused()));
        }
    }

    private void applyMarks() {
        mAppliedStep = mPolicy.step(mTotalBytes);
        List.copyOf(mHolding).forEach(this::apply);
    }

    private void closeSlowest(long nowMs) {
        mApplying = true;
        List.copyOf(mHolding).forEach(a -> a.reader().measure(nowMs));
        for (ReaderAccount each : mPolicy.slowestFirst(nowMs, mHolding)) {
            if (!isFull()) {
                break;
            }
            close(nowMs, each);
        }
        mNoneClosable = isFull();
        mApplying = false;
    }
}
