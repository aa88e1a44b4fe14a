package org.hornbeampass.router.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/** Tests how the flow of one call to a plain service reacts to each event. */
class ServiceFlowTest {
    private static final long DEADLINE_MS = 1_000;
    private static final UpstreamAnswer ANSWER =
            new UpstreamAnswer(201, "application/json", new byte[] {'1'});

    private final FakePorts mPorts = new FakePorts();

    private ServiceFlow start(boolean repeatable) {
        ServiceFlow flow =
                new ServiceFlow(new ServicePlan(repeatable, DEADLINE_MS), mPorts.ports(), mPorts);
        flow.start(0);
        mPorts.mAdmissionReply.accept(0L, Optional.empty());
        return flow;
    }

    private ServiceFlow startNonRepeatable() {
        ServiceFlow flow = start(false);
        mPorts.mClaimReply.accept(0L, new ClaimResult.Granted());
        return flow;
    }

    @Test
    void nonRepeatableCall_isNotSentBeforeClaim() {
        start(false);
        assertThat(mPorts.mAttempts).isEmpty();
    }

    @Test
    void nonRepeatableCall_isRecordedAndBilledBeforeAnswer() {
        ServiceFlow flow = startNonRepeatable();
        flow.onFullAnswer(1, 1, ANSWER);
        assertThat(mPorts.mAnswer).isEmpty();
        mPorts.mRecordReply.accept(2);
        mPorts.replyToBill(3, BillResult.FIRST);
        assertThat(mPorts.mAnswer).contains(ANSWER);
        assertThat(mPorts.mLog)
                .containsSubsequence("claim", "start 1", "record 201", "bill 0+0", "respond 201");
    }

    @Test
    void nonRepeatableCallBrokenAfterSending_isNotResent() {
        ServiceFlow flow = startNonRepeatable();
        flow.onFault(1, 1, new AttemptFault(AttemptOutcome.BROKEN_IN_ANSWER, "reset"));
        assertThat(mPorts.mAttempts).hasSize(1);
        assertThat(mPorts.errorKind()).contains(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(mPorts.mLog).doesNotContain("release");
    }

    @Test
    void nonRepeatableCallWithNoByteSent_isRetriedElsewhere() {
        ServiceFlow flow = startNonRepeatable();
        flow.onFault(1, 1, new AttemptFault(AttemptOutcome.CONNECT_FAILED, "refused"));
        assertThat(mPorts.mAttempts).hasSize(2);
    }

    @Test
    void nonRepeatableCallWithoutUpstream_isNotRunAndReleasesClaim() {
        mPorts.mNoUpstream = Optional.of(Failure.of(ErrorKind.NO_UPSTREAM, "none"));
        startNonRepeatable();
        assertThat(mPorts.errorKind()).contains(ErrorKind.NO_UPSTREAM);
        assertThat(mPorts.mLog).contains("release");
    }

    @Test
    void nonRepeatableCallAtDeadline_hasUnknownOutcome() {
        startNonRepeatable();
        mPorts.runTimers(DEADLINE_MS);
        assertThat(mPorts.errorKind()).contains(ErrorKind.OUTCOME_UNKNOWN);
    }

    @Test
    void claimGrantedAfterDeadline_isReleased() {
        start(false);
        mPorts.runTimers(DEADLINE_MS);
        assertThat(mPorts.errorKind()).contains(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN);
        mPorts.mClaimReply.accept(DEADLINE_MS, new ClaimResult.Granted());
        assertThat(mPorts.mAttempts).isEmpty();
        assertThat(mPorts.mLog).contains("release");
    }

    @Test
    void recordedOutcome_isReturnedWithoutAttempt() {
        start(false);
        mPorts.mClaimReply.accept(0L, new ClaimResult.Recorded(ANSWER));
        assertThat(mPorts.mAnswer).contains(ANSWER);
        assertThat(mPorts.mAttempts).isEmpty();
    }

    @Test
    void refusedClaim_isReportedAsNotRun() {
        start(false);
        mPorts.mClaimReply.accept(
                0L,
                new ClaimResult.Refused(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")));
        assertThat(mPorts.errorKind()).contains(ErrorKind.PLATFORM_UNAVAILABLE);
        assertThat(mPorts.mAttempts).isEmpty();
    }

    @Test
    void nonRepeatableCallWithCallerGone_completesAndIsRecorded() {
        ServiceFlow flow = startNonRepeatable();
        flow.onCallerGone(1);
        assertThat(mPorts.mAttempts.get(0).mCancelled).isFalse();
        flow.onFullAnswer(2, 1, ANSWER);
        assertThat(mPorts.mLog).contains("record 201");
    }

    @Test
    void repeatableCall_isRetriedWithoutClaim() {
        ServiceFlow flow = start(true);
        flow.onFault(1, 1, new AttemptFault(AttemptOutcome.BROKEN_IN_ANSWER, "reset"));
        flow.onFullAnswer(2, 2, ANSWER);
        mPorts.replyToBill(3, BillResult.FIRST);
        assertThat(mPorts.mAnswer).contains(ANSWER);
        assertThat(mPorts.mLog).doesNotContain("claim");
    }
}
