package org.hornbeampass.router.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/** Input events of one call to a plain service and what its flow does on them. */
class ServiceFlowTest {
    private static final long DEADLINE_MS = 1_000;
    private static final UpstreamAnswer ANSWER =
            new UpstreamAnswer(201, "application/json", new byte[] {'1'});

    private final FakePorts mPorts = new FakePorts();

    private ServiceFlow start(boolean repeatable) {
        ServiceFlow flow =
                new ServiceFlow(new ServicePlan(repeatable, DEADLINE_MS), mPorts.ports(), mPorts);
        flow.start(0);
        mPorts.mAdmitted.accept(0L, Optional.empty());
        return flow;
    }

    private ServiceFlow startOnce() {
        ServiceFlow flow = start(false);
        mPorts.mClaimed.accept(0L, new Claim.Own());
        return flow;
    }

    @Test
    void onceCall_isNotSentBeforeItsClaim() {
        start(false);
        assertThat(mPorts.mAttempts).isEmpty();
    }

    @Test
    void onceCall_isRecordedAndBilledBeforeItsAnswer() {
        ServiceFlow flow = startOnce();
        flow.onWhole(1, 1, ANSWER);
        assertThat(mPorts.mAnswer).isEmpty();
        mPorts.mRecorded.accept(2);
        mPorts.billed(3, BillResult.FIRST);
        assertThat(mPorts.mAnswer).contains(ANSWER);
        assertThat(mPorts.mLog)
                .containsSubsequence("claim", "start 1", "record 201", "bill 0+0", "respond 201");
    }

    @Test
    void onceCallThatBreaksAfterItWasSent_isNotSentAgain() {
        ServiceFlow flow = startOnce();
        flow.onFault(1, 1, new AttemptFault(AttemptOutcome.BROKEN_IN_ANSWER, "reset"));
        assertThat(mPorts.mAttempts).hasSize(1);
        assertThat(mPorts.errorKind()).contains(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(mPorts.mLog).doesNotContain("release");
    }

    @Test
    void onceCallOfWhichNoByteWasSent_isSentElsewhere() {
        ServiceFlow flow = startOnce();
        flow.onFault(1, 1, new AttemptFault(AttemptOutcome.CONNECT_FAILED, "refused"));
        assertThat(mPorts.mAttempts).hasSize(2);
    }

    @Test
    void onceCallThatFindsNoUpstream_isNotRunAndItsClaimReleased() {
        mPorts.mNoUpstream = Optional.of(Failure.of(ErrorKind.NO_UPSTREAM, "none"));
        startOnce();
        assertThat(mPorts.errorKind()).contains(ErrorKind.NO_UPSTREAM);
        assertThat(mPorts.mLog).contains("release");
    }

    @Test
    void onceCallAtItsDeadline_isUnknown() {
        startOnce();
        mPorts.runTimers(DEADLINE_MS);
        assertThat(mPorts.errorKind()).contains(ErrorKind.OUTCOME_UNKNOWN);
    }

    @Test
    void claimThatComesAfterTheDeadline_isReleased() {
        start(false);
        mPorts.runTimers(DEADLINE_MS);
        assertThat(mPorts.errorKind()).contains(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN);
        mPorts.mClaimed.accept(DEADLINE_MS, new Claim.Own());
        assertThat(mPorts.mAttempts).isEmpty();
        assertThat(mPorts.mLog).contains("release");
    }

    @Test
    void recordedOutcome_isReturnedAndNothingRuns() {
        start(false);
        mPorts.mClaimed.accept(0L, new Claim.Recorded(ANSWER));
        assertThat(mPorts.mAnswer).contains(ANSWER);
        assertThat(mPorts.mAttempts).isEmpty();
    }

    @Test
    void refusedClaim_isNotRun() {
        start(false);
        mPorts.mClaimed.accept(
                0L, new Claim.Refused(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")));
        assertThat(mPorts.errorKind()).contains(ErrorKind.PLATFORM_UNAVAILABLE);
        assertThat(mPorts.mAttempts).isEmpty();
    }

    @Test
    void onceCallWhoseCallerIsGone_runsOnAndIsRecorded() {
        ServiceFlow flow = startOnce();
        flow.onCallerGone(1);
        assertThat(mPorts.mAttempts.get(0).mCancelled).isFalse();
        flow.onWhole(2, 1, ANSWER);
        assertThat(mPorts.mLog).contains("record 201");
    }

    @Test
    void repeatableCall_isTriedAgainAndNeedsNoClaim() {
        ServiceFlow flow = start(true);
        flow.onFault(1, 1, new AttemptFault(AttemptOutcome.BROKEN_IN_ANSWER, "reset"));
        flow.onWhole(2, 2, ANSWER);
        mPorts.billed(3, BillResult.FIRST);
        assertThat(mPorts.mAnswer).contains(ANSWER);
        assertThat(mPorts.mLog).doesNotContain("claim");
    }
}
