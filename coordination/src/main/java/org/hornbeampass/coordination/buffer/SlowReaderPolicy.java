package org.hornbeampass.coordination.buffer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which senders a VM stops reading from and which readers it closes, for loads under which
 * many callers or upstreams read slowly at once and a fixed mark for each connection would let the
 * sum grow without bound.
 *
 * <p>From half of the bound on, each reader has a mark that falls from {@link #MAX_MARK_BYTES} to
 * zero at seven eighths of the bound, so that the largest are held up first. A reader for which
 * nothing is held is never held up. At the bound, the reader with the largest product of bytes and
 * time without progress is closed first. Invariant: the mark never rises with the sum. Stateless
 * but for the bound; safe for use by any thread.
 */
final class SlowReaderPolicy {
    /** The mark at which connections are paused without a bound. */
    static final long MAX_MARK_BYTES = 64 << 10;

    /** Above this share of the bound, the senders that large readers hold up are paused. */
    private static final double PAUSE_SHARE = 0.5;

    /** Above this share of the bound, the senders of all readers with bytes held are paused. */
    private static final double STOP_SHARE = 0.875;

    /** A paused sender resumes at this share of the mark, so that it does not alternate. */
    private static final double RESUME_SHARE = 0.5;

    /** In how many steps between the shares the marks of all readers are applied again. */
    private static final int STEPS = 8;

    /** The most bytes of one read, Netty's default, and the least. */
    static final int MAX_READ_BYTES = 64 << 10;

    static final int MIN_READ_BYTES = 512;

    /**
     * By how many reads what is left below the bound is divided. With 64 and with 1,024, the first
     * reads of 5,000 slow readers reached a bound of 11 MB.
     */
    private static final int READS_AT_ONCE = 2_048;

    private final long mBoundBytes;
    private final double mPauseBytes;
    private final double mStopBytes;

    SlowReaderPolicy(long boundBytes) {
        mBoundBytes = boundBytes;
        mPauseBytes = PAUSE_SHARE * boundBytes;
        mStopBytes = STOP_SHARE * boundBytes;
    }

    long boundBytes() {
        return mBoundBytes;
    }

    /** Returns whether the sum is at the bound, so that readers are closed and requests refused. */
    boolean isFull(long totalBytes) {
        return totalBytes >= mBoundBytes;
    }

    /** Returns whether the sender of a reader is to be paused, or to stay paused. */
    boolean pauses(long totalBytes, long readerBytes, boolean paused) {
        if (totalBytes <= mPauseBytes) {
            return false;
        }
        double left = Math.max(0, (mStopBytes - totalBytes) / (mStopBytes - mPauseBytes));
        return readerBytes > left * MAX_MARK_BYTES * (paused ? RESUME_SHARE : 1);
    }

    /** Returns a number that grows with the sum, from 0 below the first share on. */
    int step(long totalBytes) {
        double share = (totalBytes - mPauseBytes) / (mStopBytes - mPauseBytes);
        return (int) Math.ceil(Math.max(0, Math.min(1, share)) * STEPS);
    }

    /**
     * Returns the most bytes that one read may bring: reads that were due when the sum reached a
     * share still take place.
     */
    int maxReadBytes(long totalBytes) {
        if (totalBytes <= mPauseBytes) {
            return MAX_READ_BYTES;
        }
        long each = (mBoundBytes - totalBytes) / READS_AT_ONCE;
        return (int) Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, each));
    }

    /** Returns the readers in the order in which they are closed at the bound. */
    List<ReaderAccount> slowestFirst(long nowMs, Collection<ReaderAccount> readers) {
        return readers.stream()
                .sorted(Comparator.comparingDouble(r -> -r.bytes() * (1.0 + r.stalledMs(nowMs))))
                .toList();
    }
}
