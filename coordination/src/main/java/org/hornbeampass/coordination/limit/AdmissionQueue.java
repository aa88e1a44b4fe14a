package org.hornbeampass.coordination.limit;

import org.agrona.collections.Long2ObjectHashMap;
import org.hornbeampass.coordination.limit.WaitingRequests.WaitingRequest;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Admits requests up to a capacity and queues a bounded number of others; there is one queue for
 * each target.
 *
 * <p>Invariants: at most {@code capacity} requests are admitted and not released; at most {@code
 * maxWaiting} wait; each request is answered exactly once unless it is abandoned, and one that is
 * shed, abandoned or past its deadline leaves the queue at once. A request that can't be served
 * before its deadline at the present rate is refused on submission. Thread-safe: one lock guards
 * the state, and callbacks run after it is released.
 */
public final class AdmissionQueue {
    private static final long MIN_RETRY_MS = 1_000;
    private static final long MAX_RETRY_MS = 30_000;
    private static final long RETRY_JITTER_MS = 1_000;
    private static final String SHED_MESSAGE =
            "too many requests wait; one of the lowest priority was refused";
    private static final String DEADLINE_MESSAGE =
            "at the present rate the request can't be served before its deadline";

    private final Object mLock = new Object();
    private final int mMaxWaiting;
    private final WaitingRequests mWaiting =
            new WaitingRequests(WaitingRequests.FairTurn.MOST_URGENT);
    private final Long2ObjectHashMap<Entry> mEntries = new Long2ObjectHashMap<>();
    private final ServiceRate mRate = new ServiceRate();
    private int mCapacity;
    private int mAdmitted;
    private long mLastNumber;

    /** A waiting request with its callback. */
    private record Entry(WaitingRequest waiting, BiConsumer<Long, Optional<Failure>> done) {}

    /** A callback to run after the lock is released, with its result. */
    private record Answer(BiConsumer<Long, Optional<Failure>> done, Optional<Failure> failure) {}

    /**
     * Creates an empty queue.
     *
     * @param capacity how many requests may be admitted at once
     * @param maxWaiting how many requests may wait
     */
    public AdmissionQueue(int capacity, int maxWaiting) {
        mCapacity = capacity;
        mMaxWaiting = maxWaiting;
    }

    /**
     * Submits a request for admission.
     *
     * @param done called exactly once, now or later, with the time in milliseconds and either no
     *     failure, which admits the request so that it must be released once, or {@code OVERLOADED}
     *     or {@code DEADLINE_EXCEEDED_NOT_RUN}; not called if the request is abandoned
     * @return the number to pass to {@link #abandon}
     */
    public long submit(
            long nowMs, AdmissionRequest request, BiConsumer<Long, Optional<Failure>> done) {
        List<Answer> answers = new ArrayList<>();
        long number;
        synchronized (mLock) {
            number = ++mLastNumber;
            submit(nowMs, new Entry(new WaitingRequest(number, request), done), answers);
        }
        runAnswers(nowMs, answers);
        return number;
    }

    /** Releases one admitted request and admits the next. */
    public void release(long nowMs) {
        List<Answer> answers = new ArrayList<>();
        synchronized (mLock) {
            if (mAdmitted == 0) {
                throw new IllegalStateException("more requests were released than admitted");
            }
            mAdmitted--;
            mRate.onCompleted(nowMs);
            admitNext(nowMs, answers);
        }
        runAnswers(nowMs, answers);
    }

    /**
     * Sets how many requests may be admitted at once; those above the limit finish, and none is
     * admitted until then.
     */
    public void setCapacity(long nowMs, int capacity) {
        List<Answer> answers = new ArrayList<>();
        synchronized (mLock) {
            mCapacity = capacity;
            admitNext(nowMs, answers);
        }
        runAnswers(nowMs, answers);
    }

    /**
     * Removes a waiting request whose caller gave up.
     *
     * @return whether the request was still waiting; otherwise it was answered before
     */
    public boolean abandon(long number) {
        synchronized (mLock) {
            Entry entry = mEntries.remove(number);
            return entry != null && mWaiting.remove(entry.waiting());
        }
    }

    /** Answers waiting requests whose deadline has passed; must be called a few times a second. */
    public void expire(long nowMs) {
        List<Answer> answers = new ArrayList<>();
        synchronized (mLock) {
            expireLocked(nowMs, answers);
        }
        runAnswers(nowMs, answers);
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        synchronized (mLock) {
            return mWaiting.size();
        }
    }

    /** Returns the number of requests that are admitted and not released. */
    public int admitted() {
        synchronized (mLock) {
            return mAdmitted;
        }
    }

    private void submit(long nowMs, Entry entry, List<Answer> answers) {
        AdmissionRequest request = entry.waiting().request();
        if (request.deadline().passed(nowMs)) {
            answers.add(new Answer(entry.done(), Optional.of(deadlineExceeded())));
            return;
        }
        if (mAdmitted < mCapacity && mWaiting.size() == 0) {
            mAdmitted++;
            mWaiting.onServed(request);
            answers.add(new Answer(entry.done(), Optional.empty()));
            return;
        }
        OptionalLong waitMs =
                mRate.estimateWaitMs(nowMs, mWaiting.countAtOrAbove(request.priority()) + 1);
        if (waitMs.isPresent() && waitMs.getAsLong() > request.deadline().remainingMs(nowMs)) {
            answers.add(refuse(nowMs, entry, DEADLINE_MESSAGE));
            return;
        }
        mWaiting.add(entry.waiting());
        mEntries.put(entry.waiting().number(), entry);
        if (mWaiting.size() > mMaxWaiting) {
            WaitingRequest victim = mWaiting.firstToShed().orElseThrow();
            mWaiting.remove(victim);
            answers.add(refuse(nowMs, mEntries.remove(victim.number()), SHED_MESSAGE));
        }
    }

    private void admitNext(long nowMs, List<Answer> answers) {
        expireLocked(nowMs, answers);
        while (mAdmitted < mCapacity) {
            Optional<WaitingRequest> next = mWaiting.takeNext();
            if (next.isEmpty()) {
                return;
            }
            mAdmitted++;
            Entry entry = mEntries.remove(next.get().number());
            answers.add(new Answer(entry.done(), Optional.empty()));
        }
    }

    private void expireLocked(long nowMs, List<Answer> answers) {
        for (WaitingRequest expired : mWaiting.expired(nowMs)) {
            mWaiting.remove(expired);
            Entry entry = mEntries.remove(expired.number());
            answers.add(new Answer(entry.done(), Optional.of(deadlineExceeded())));
        }
    }

    private Answer refuse(long nowMs, Entry entry, String message) {
        long waitMs = mRate.estimateWaitMs(nowMs, mWaiting.size() + 1).orElse(MIN_RETRY_MS);
        long bounded = Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, waitMs));
        long spread = Math.floorMod(entry.waiting().number() * 0x9E3779B1L, RETRY_JITTER_MS);
        Failure failure = Failure.retryAfter(ErrorKind.OVERLOADED, message, bounded + spread);
        return new Answer(entry.done(), Optional.of(failure));
    }

    private static Failure deadlineExceeded() {
        return Failure.of(
                ErrorKind.DEADLINE_EXCEEDED_NOT_RUN,
                "the deadline passed while the request waited to be admitted");
    }

    private static void runAnswers(long nowMs, List<Answer> answers) {
        answers.forEach(a -> a.done().accept(nowMs, a.failure()));
    }
}
