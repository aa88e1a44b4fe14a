package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/**
 * Checks random schedules of submissions, releases, abandoned requests and changes of capacity
 * against the bounds of the queue and the order of shedding.
 */
class AdmissionProperties {
    private static final int EVENTS = 300;
    private static final int MAX_WAITING = 6;

    /** Faults put between the schedule and the queue, which the checks must detect. */
    private enum Mutant {
        NONE,
        /** Inverts the priorities, so that the highest is shed first. */
        SHEDS_HIGHEST_FIRST,
        /** Leaves abandoned requests in the queue. */
        IGNORES_ABANDON,
        /** Raises the capacity by one. */
        CAPACITY_PLUS_ONE
    }

    /** One random schedule with a simple model of the queue. */
    private static final class Schedule {
        private final SplittableRandom mRandom;
        private final Mutant mMutant;
        private final AdmissionQueue mQueue;
        private final Map<Long, AdmissionRequest> mWaiting = new HashMap<>();
        private int mCapacity = 3;
        private int mAdmitted;
        private Optional<String> mViolation = Optional.empty();

        private Schedule(long seed, Mutant mutant) {
            mRandom = new SplittableRandom(seed);
            mMutant = mutant;
            mQueue = new AdmissionQueue(queueCapacity(mCapacity), MAX_WAITING);
        }

        private Optional<String> run() {
            for (int now = 1; now <= EVENTS && mViolation.isEmpty(); now++) {
                applyRandomEvent(now);
                mQueue.expire(now);
                check(now);
            }
            return mViolation;
        }

        private void applyRandomEvent(int nowMs) {
            int kind = mRandom.nextInt(10);
            if (kind < 5) {
                submit(nowMs);
            } else if (kind < 8 && mAdmitted > 0) {
                mAdmitted--;
                mQueue.release(nowMs);
            } else if (kind == 8 && !mWaiting.isEmpty()) {
                long number = mWaiting.keySet().iterator().next();
                mWaiting.remove(number);
                if (mMutant != Mutant.IGNORES_ABANDON) {
                    mQueue.abandon(number);
                }
            } else if (kind == 9) {
                mCapacity = mRandom.nextInt(5);
                mQueue.setCapacity(nowMs, queueCapacity(mCapacity));
            }
        }

        private void submit(int nowMs) {
            int priority = mRandom.nextInt(4);
            Deadline deadline = new Deadline(nowMs + 1 + mRandom.nextInt(100));
            OrganisationId org = new OrganisationId("o" + mRandom.nextInt(3));
            AdmissionRequest request = new AdmissionRequest(org, priority, 1, 1, deadline);
            boolean inverted = mMutant == Mutant.SHEDS_HIGHEST_FIRST;
            AdmissionRequest submitted =
                    new AdmissionRequest(org, inverted ? 9 - priority : priority, 1, 1, deadline);
            long[] number = new long[1];
            boolean[] answered = new boolean[1];
            number[0] =
                    mQueue.submit(
                            nowMs,
                            submitted,
                            (now, failure) -> {
                                answered[0] = true;
                                onAnswer(now, number[0], request, failure);
                            });
            if (!answered[0]) {
                mWaiting.put(number[0], request);
            }
        }

        private void onAnswer(
                long nowMs, long number, AdmissionRequest request, Optional<Failure> failure) {
            boolean waited = number != 0 && mWaiting.remove(number) != null;
            if (number != 0 && !waited) {
                reportViolation("an answer to a request that was already answered or abandoned");
            }
            if (failure.isEmpty()) {
                mAdmitted++;
                if (mAdmitted > mCapacity) {
                    reportViolation("more requests admitted than the capacity");
                }
                if (request.deadline().passed(nowMs)) {
                    reportViolation("a request admitted after its deadline");
                }
            } else if (failure.get().kind() == ErrorKind.OVERLOADED) {
                checkShed(request, failure.get());
            }
        }

        private void checkShed(AdmissionRequest request, Failure failure) {
            if (failure.retryAfterMs().isEmpty()) {
                reportViolation("a request shed without a time to retry");
            }
            boolean byPriority = failure.message().contains("priority");
            boolean lowerWaits =
                    mWaiting.values().stream().anyMatch(w -> w.priority() < request.priority());
            if (byPriority && lowerWaits) {
                reportViolation("a request shed while one of lower priority waits");
            }
        }

        private void check(int nowMs) {
            if (mQueue.waiting() != mWaiting.size() || mWaiting.size() > MAX_WAITING) {
                reportViolation(
                        "waiting requests: " + mQueue.waiting() + ", expected " + mWaiting.size());
            }
            if (mWaiting.values().stream().anyMatch(w -> w.deadline().passed(nowMs))) {
                reportViolation("a request past its deadline still waits");
            }
        }

        private void reportViolation(String what) {
            mViolation = mViolation.or(() -> Optional.of(what));
        }

        private int queueCapacity(int capacity) {
            return mMutant == Mutant.CAPACITY_PLUS_ONE ? capacity + 1 : capacity;
        }
    }

    @Property(seed = "13", tries = 300)
    void queue_keepsItsBounds(@ForAll long seed) {
        assertThat(new Schedule(seed, Mutant.NONE).run()).isEmpty();
    }

    @Test
    void mutants_areCaught() {
        for (Mutant mutant : Mutant.values()) {
            boolean caught =
                    LongStream.range(0, 200)
                            .anyMatch(seed -> new Schedule(seed, mutant).run().isPresent());
            assertThat(caught).as(mutant.name()).isEqualTo(mutant != Mutant.NONE);
        }
    }
}
