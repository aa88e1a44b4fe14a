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
 * Changes records on the platform by reading, changing and writing conditionally, each change
 * applied at most once, also when replies are lost.
 *
 * <p>A record is stored with the last write of each recent writer, so a change whose reply was lost
 * is recognised when the record is read again, even if others wrote after it. Conflicts and open
 * replies are retried with jittered backoff, by {@link #tick}, up to the policy's attempts. The
 * write itself carries the condition (the version that was read), so a pause between reading and
 * writing costs a conflict and nothing else; no decision is taken from what was read except through
 * that write.
 *
 * <p>Failures: what the change itself returned; {@code REVISION_CONFLICT} and {@code
 * PLATFORM_UNAVAILABLE}: surely not applied; {@code OUTCOME_UNKNOWN}: may be applied, also later.
 *
 * <p>Changes of one key by one writer are made one after the other. One VM must use one writer for
 * a key. Thread-safe: one lock guards the queues; calls, changes and callbacks run without it.
 */
public final class ConditionalWriter {
    private static final int MAX_QUEUED_PER_KEY = 1_000;

    private final Platform mPlatform;
    private final VmId mWriter;
    private final RetryPolicy mPolicy;
    private final Object mLock = new Object();
    private final SplittableRandom mRandom;
    private final Map<String, Deque<RecordChange<?>>> mByKey = new HashMap<>();
    private final PriorityQueue<Retry> mRetries =
            new PriorityQueue<>(Comparator.comparingLong(Retry::dueMs));
    private long mSequence;

    /** A change that waits for its next attempt. */
    private record Retry(long dueMs, RecordChange<?> change) {}

    /**
     * Creates a writer.
     *
     * @param platform the platform that is written to
     * @param writer this VM
     * @param policy how conflicts and open replies are retried
     * @param seed seeds the jitter
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
     * @param change gives the new record for the present one (empty where there is none), or why it
     *     must not be changed; may be run more than once, so it must depend on its argument only; a
     *     result equal to the present record is not written
     * @param done takes the time in milliseconds and the record after the change
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
            Deque<RecordChange<?>> queue = mByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
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
            String message = "too many changes of " + key + " wait on this VM; retry later";
            done.accept(nowMs, Either.left(Failure.of(ErrorKind.OVERLOADED, message)));
            return;
        }
        next.attempt(nowMs);
    }

    /**
     * Reads one record as this writer stores it.
     *
     * @param nowMs the present time in milliseconds
     * @param key the record's key
     * @param type the record's type
     * @param done takes the time in milliseconds and the record, empty where there is none
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
                (atMs, reply) -> done.accept(atMs, bodyOf(reply, type)));
    }

    private static <T> Either<Failure, Optional<T>> bodyOf(PlatformReply reply, Class<T> type) {
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
     * Returns the record in a stored text, as it is seen in a listing or a watch.
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
     * Starts the attempts whose backoff has ended.
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

    /** Returns how many changes are not done yet. */
    public int pending() {
        synchronized (mLock) {
            return mByKey.values().stream().mapToInt(Deque::size).sum();
        }
    }

    /** Plans a change's next attempt; returns false where its attempts are used up. */
    boolean retryLater(long nowMs, RecordChange<?> change, int attempts) {
        if (attempts >= mPolicy.maxAttempts()) {
            return false;
        }
        synchronized (mLock) {
            mRetries.add(new Retry(nowMs + mPolicy.waitMs(attempts, mRandom), change));
        }
        return true;
    }

    /** Removes a change that is done and starts the next one of its key. */
    void finished(long nowMs, String key) {
        RecordChange<?> next;
        synchronized (mLock) {
            Deque<RecordChange<?>> queue = mByKey.get(key);
            queue.removeFirst();
            next = queue.peekFirst();
            if (next == null) {
                mByKey.remove(key);
            }
        }
        if (next != null) {
            next.attempt(nowMs);
        }
    }
}
