package org.hornbeampass.coordination.platform;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.VmId;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Changes records on the platform by a read, a change and a conditional update. Each change is
 * applied at most once, even if replies are lost.
 *
 * <p>A record is stored with a mark of the last write of each recent writer, so a change whose
 * reply was lost is recognised when the record is read again, even if other VMs wrote after it.
 * Conflicts and writes without a reply are retried by {@link #tick} with backoff and jitter, up to
 * the policy's number of attempts. The write is conditional on the version that was read, so a
 * pause between the read and the write can only cause a conflict; nothing is decided from the read
 * except through that write.
 *
 * <p>A change fails with the failure that the change function returned; with {@code
 * REVISION_CONFLICT} or {@code PLATFORM_UNAVAILABLE} if it was certainly not applied; or with
 * {@code OUTCOME_UNKNOWN} if it may have been applied or may still be.
 *
 * <p>Changes of the same key are made one after the other. A VM must use a single writer for each
 * key. Thread-safe: one lock guards the queues; calls, change functions and callbacks run without
 * it.
 */
public final class ConditionalWriter {
    private static final int MAX_QUEUED_PER_KEY = 1_000;

    private final Platform mPlatform;
    private final VmId mWriter;
    private final RetryPolicy mPolicy;
    private final Object mLock = new Object();
    private final SplittableRandom mRandom;
    private final Map<String, Deque<RecordChange<?>>> mPendingByKey = new HashMap<>();
    private final PriorityQueue<Retry> mRetries =
            new PriorityQueue<>(Comparator.comparingLong(Retry::dueMs));
    private long mSequence;

    /** A change that waits for its next attempt, and when that is due. */
    private record Retry(long dueMs, RecordChange<?> change) {}

    /**
     * Creates a writer.
     *
     * @param platform the platform to write to
     * @param writer this VM
     * @param policy the backoff and number of attempts after conflicts and missing replies
     * @param seed the seed of the jitter
     */
    public ConditionalWriter(Platform platform, VmId writer, RetryPolicy policy, long seed) {
        mPlatform = platform;
        mWriter = writer;
        mPolicy = policy;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Changes one record.
     *
     * @param nowMs the present time in milliseconds
     * @param key the record's key
     * @param type the record's type
     * @param change returns the new record for the current one (empty if there is none), or a
     *     failure if the record must not be changed; may be run more than once, so it must depend
     *     on its argument only; a result equal to the current record is not written
     * @param done receives the time in milliseconds and the record after the change
     * @param <T> the record's type
     */
    public <T> void change(
            long nowMs,
            String key,
            Class<T> type,
            Function<Optional<T>, Either<Failure, T>> change,
            BiConsumer<Long, Either<Failure, T>> done) {
        RecordChange<T> next;
        synchronized (mLock) {
            Deque<RecordChange<?>> queue =
                    mPendingByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
            if (queue.size() >= MAX_QUEUED_PER_KEY) {
                next = null;
            } else {
                StoredValue.Mark mark = new StoredValue.Mark(mWriter, mSequence++);
                next = new RecordChange<>(this, mPlatform, key, type, mark, change, done);
                queue.addLast(next);
                if (queue.size() > 1) {
                    return;
                }
            }
        }
        if (next == null) {
            String message = "too many changes of " + key + " are queued on this VM; retry later";
            done.accept(nowMs, Either.left(Failure.of(ErrorKind.OVERLOADED, message)));
            return;
        }
        next.attempt(nowMs);
    }

    /**
     * Reads one record that a conditional writer stored.
     *
     * @param nowMs the present time in milliseconds
     * @param key the record's key
     * @param type the record's type
     * @param done receives the time in milliseconds and the record, empty if there is none
     * @param <T> the record's type
     */
    public <T> void read(
            long nowMs,
            String key,
            Class<T> type,
            BiConsumer<Long, Either<Failure, Optional<T>>> done) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(key),
                (atMs, reply) -> done.accept(atMs, decodeReply(reply, type)));
    }

    private static <T> Either<Failure, Optional<T>> decodeReply(
            PlatformReply reply, Class<T> type) {
        if (reply instanceof PlatformReply.Missing) {
            return Either.right(Optional.empty());
        }
        if (reply instanceof PlatformReply.Found found) {
            return decodeBody(found.object().value(), type).map(Optional::of);
        }
        return Either.left(
                Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not answer a read"));
    }

    /**
     * Decodes a record from its stored text, which is the value in a listing or a watch.
     *
     * @param text the stored text
     * @param type the record's type
     * @param <T> the record's type
     */
    public static <T> Either<Failure, T> decodeBody(String text, Class<T> type) {
        return Json.decode(text, StoredValue.class)
                .flatMap(stored -> Json.decode(stored.body().toString(), type));
    }

    /**
     * Starts the retries that are due.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        List<RecordChange<?>> due = new ArrayList<>();
        synchronized (mLock) {
            while (!mRetries.isEmpty() && mRetries.peek().dueMs() <= nowMs) {
                due.add(mRetries.poll().change());
            }
        }
        due.forEach(c -> c.attempt(nowMs));
    }

    /** Returns the number of changes that have not been completed. */
    public int pending() {
        synchronized (mLock) {
            return mPendingByKey.values().stream().mapToInt(Deque::size).sum();
        }
    }

    /** Schedules the next attempt of a change; returns false if no attempts are left. */
    boolean scheduleRetry(long nowMs, RecordChange<?> change, int attempts) {
        if (attempts >= mPolicy.maxAttempts()) {
            return false;
        }
        synchronized (mLock) {
            mRetries.add(new Retry(nowMs + mPolicy.waitMs(attempts, mRandom), change));
        }
        return true;
    }

    /** Removes the completed change of a key and starts the next one. */
    void onFinished(long nowMs, String key) {
        RecordChange<?> next;
        synchronized (mLock) {
            Deque<RecordChange<?>> queue = mPendingByKey.get(key);
            queue.removeFirst();
            next = queue.peekFirst();
            if (next == null) {
                mPendingByKey.remove(key);
            }
        }
        if (next != null) {
            next.attempt(nowMs);
        }
    }
}
