package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Guards {@link AdmissionQueue} against a wrong order of admission or shedding and against requests
 * that wait past their deadline.
 */
class AdmissionQueueTest {
    private final List<String> mAnswers = new ArrayList<>();
    private final List<Failure> mFailures = new ArrayList<>();

    @Test
    void higherPriority_isAdmittedFirst() {
        AdmissionQueue queue = new AdmissionQueue(1, 10);
        submit(queue, "first", "a", 1, Deadline.none());
        submit(queue, "low", "a", 1, Deadline.none());
        submit(queue, "high", "b", 9, Deadline.none());
        queue.release(1);

        assertThat(mAnswers).containsExactly("first", "high");
    }

    @Test
    void organisationsOfOnePriority_takeTurns() {
        AdmissionQueue queue = new AdmissionQueue(1, 10);
        submit(queue, "a0", "a", 5, Deadline.none());
        submit(queue, "a1", "a", 5, Deadline.none());
        submit(queue, "a2", "a", 5, Deadline.none());
        submit(queue, "b0", "b", 5, Deadline.none());
        submit(queue, "b1", "b", 5, Deadline.none());
        for (int i = 0; i < 4; i++) {
            queue.release(i);
        }

        assertThat(mAnswers).containsExactly("a0", "b0", "a1", "b1", "a2");
    }

    @Test
    void fullQueue_shedsLowestPriorityAtOnceWithRetryAfter() {
        AdmissionQueue queue = new AdmissionQueue(1, 2);
        submit(queue, "running", "a", 5, Deadline.none());
        submit(queue, "low", "a", 1, Deadline.none());
        submit(queue, "middle", "a", 5, Deadline.none());
        submit(queue, "high", "b", 9, Deadline.none());

        assertThat(mAnswers).containsExactly("running", "low OVERLOADED");
        assertThat(mFailures.get(0).retryAfterMs().orElse(0)).isBetween(1_000L, 2_000L);
    }

    @Test
    void fullQueue_shedsFromOrganisationThatWaitsWithMost() {
        AdmissionQueue queue = new AdmissionQueue(0, 3);
        submit(queue, "a0", "a", 5, Deadline.none());
        submit(queue, "a1", "a", 5, Deadline.none());
        submit(queue, "b0", "b", 5, Deadline.none());
        submit(queue, "b1", "b", 5, Deadline.none());

        assertThat(mAnswers).containsExactly("b1 OVERLOADED");
        submit(queue, "c0", "c", 5, Deadline.none());
        assertThat(mAnswers).containsExactly("b1 OVERLOADED", "a1 OVERLOADED");
    }

    @Test
    void requestPastItsDeadline_isAnsweredAndRemoved() {
        AdmissionQueue queue = new AdmissionQueue(1, 1);
        submit(queue, "running", "a", 5, Deadline.none());
        submit(queue, "late", "a", 5, new Deadline(100));
        queue.expire(99);
        assertThat(mAnswers).containsExactly("running");

        queue.expire(100);

        assertThat(mAnswers).containsExactly("running", "late DEADLINE_EXCEEDED_NOT_RUN");
        assertThat(queue.waiting()).isZero();
    }

    @Test
    void abandonedRequest_leavesAtOnceAndIsNeverAdmitted() {
        AdmissionQueue queue = new AdmissionQueue(1, 5);
        submit(queue, "running", "a", 5, Deadline.none());
        long number = submit(queue, "abandoned", "a", 5, Deadline.none());

        assertThat(queue.abandon(number)).isTrue();
        assertThat(queue.abandon(number)).isFalse();
        assertThat(queue.waiting()).isZero();
        queue.release(1);
        assertThat(mAnswers).containsExactly("running");
        assertThat(queue.admitted()).isZero();
    }

    @Test
    void requestThatCannotBeServedInTime_isRefusedOnSubmission() {
        AdmissionQueue queue = new AdmissionQueue(1, 100);
        submit(queue, "r", "a", 5, Deadline.none());
        for (int i = 1; i <= 20; i++) {
            queue.release(i * 1_000L);
            submit(queue, "r", "a", 5, Deadline.none());
        }
        mAnswers.clear();

        queue.submit(
                20_000,
                new AdmissionRequest(new OrganisationId("a"), 5, 1, 1, new Deadline(20_100)),
                (now, failure) -> answer("hopeless", failure));

        assertThat(mAnswers).containsExactly("hopeless OVERLOADED");
    }

    @Test
    void lowPriority_isNotStarved() {
        AdmissionQueue queue = new AdmissionQueue(1, 100);
        submit(queue, "first", "a", 9, Deadline.none());
        submit(queue, "low", "b", 0, Deadline.none());
        for (int i = 0; i < 30; i++) {
            submit(queue, "high", "a", 9, Deadline.none());
        }
        for (int i = 0; i < 16; i++) {
            queue.release(i);
        }

        assertThat(mAnswers).contains("low");
    }

    private long submit(
            AdmissionQueue queue, String name, String org, int priority, Deadline deadline) {
        return queue.submit(
                0,
                new AdmissionRequest(new OrganisationId(org), priority, 1, 1, deadline),
                (now, failure) -> answer(name, failure));
    }

    private void answer(String name, Optional<Failure> failure) {
        failure.ifPresent(mFailures::add);
        String suffix = failure.map(Failure::kind).map(ErrorKind::name).orElse("");
        mAnswers.add((name + " " + suffix).strip());
    }
}
