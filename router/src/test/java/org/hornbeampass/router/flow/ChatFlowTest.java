package org.hornbeampass.router.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Tests how the flow of one chat completion reacts to each event. */
class ChatFlowTest {
    private static final long DEADLINE_MS = 1_000;
    private static final long LIMIT = 5;

    private final FakePorts mPorts = new FakePorts();
    private ChatFlow mFlow = flow(true, false);

    private ChatFlow flow(boolean stream, boolean includeUsage) {
        ChatPlan plan =
                new ChatPlan(stream, includeUsage, 20, LIMIT, DEADLINE_MS, "\"chatcmpl-1\"", "m");
        return new ChatFlow(plan, mPorts.ports());
    }

    private void startAttempt() {
        mFlow.start(0);
        mPorts.admitAndReserve();
    }

    @Test
    void stream_endsOnlyAfterBill() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a"));
        mFlow.onChunk(2, 1, Chunks.finish("stop"));
        mFlow.onChunk(2, 1, Chunks.usage(7, 1));
        mFlow.onStreamDone(3, 1);

        assertThat(mPorts.mStreamEnded).isFalse();
        assertThat(mPorts.mBill).isEqualTo(new BillAmount(7, 1));

        mPorts.replyToBill(4, BillResult.FIRST);

        assertThat(mPorts.mLog)
                .containsSubsequence("leave", "bill 7+1", "settle 8", "end stream", "end");
        assertThat(mPorts.mSent.toString())
                .contains("\"id\":\"chatcmpl-1\"")
                .doesNotContain("up-1");
    }

    @Test
    void worstCase_isReserved() {
        startAttempt();
        assertThat(mPorts.mReservedTokens).isEqualTo(20 + LIMIT);
    }

    @Test
    void fullAnswer_isSentAfterBill() {
        mFlow = flow(false, false);
        startAttempt();
        mFlow.onFullAnswer(
                1, 1, new UpstreamAnswer(200, "application/json", Chunks.whole("a b", 7, 2)));
        assertThat(mPorts.mAnswer).isEmpty();
        mPorts.replyToBill(2, BillResult.QUEUED);
        String body = new String(mPorts.mAnswer.orElseThrow().body(), StandardCharsets.UTF_8);
        assertThat(body).contains("\"id\":\"chatcmpl-1\"").contains("a b");
        assertThat(mPorts.mLog).contains("settle 9");
    }

    @Test
    void requestedUsage_equalsBill() {
        mFlow = flow(true, true);
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a"));
        mFlow.onChunk(1, 1, Chunks.usage(7, 1));
        mFlow.onStreamDone(1, 1);
        mPorts.replyToBill(2, BillResult.FIRST);
        assertThat(mPorts.mSent.toString())
                .contains("\"prompt_tokens\":7,\"completion_tokens\":1,\"total_tokens\":8");
    }

    @Test
    void duplicateBill_cancelsReservation() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a"));
        mFlow.onStreamDone(1, 1);
        mPorts.replyToBill(2, BillResult.DUPLICATE);
        assertThat(mPorts.mSettled).isZero();
        assertThat(mPorts.mCancelled).isEqualTo(1);
        assertThat(mPorts.mStreamEnded).isTrue();
    }

    @Test
    void raisedBill_settlesOnlyTheDifference() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a"));
        mFlow.onChunk(1, 1, Chunks.token("b"));
        mFlow.onChunk(1, 1, Chunks.usage(7, 2));
        mFlow.onStreamDone(1, 1);
        mPorts.mBillReply.accept(2L, new Charge(BillResult.RAISED, 1));
        assertThat(mPorts.mBill).isEqualTo(new BillAmount(7, 2));
        assertThat(mPorts.mLog).contains("settle 1").doesNotContain("cancel reservation");
    }

    @Test
    void lateChunkOfAbandonedAttempt_isNotSentToCaller() {
        startAttempt();
        mFlow.onFault(1, 1, broken());
        mFlow.onChunk(2, 1, Chunks.token("late"));
        mFlow.onChunk(3, 2, Chunks.token("mine"));
        mFlow.onStreamDone(4, 1);
        assertThat(mPorts.mSent.toString()).contains("mine").doesNotContain("late");
        assertThat(mPorts.mBills).isZero();
    }

    @Test
    void streamResumedElsewhere_mustContinueAtExactToken() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.tokenAt(0, "a"));
        mFlow.onFault(2, 1, broken());
        assertThat(mPorts.mLastRelayed).isEqualTo(new RelayProgress(1, 1));
        mFlow.onChunk(3, 2, Chunks.tokenAt(1, "b"));
        mFlow.onChunk(4, 2, Chunks.tokenAt(3, "gap"));
        assertThat(mPorts.mAttempts.get(1).mCancelled).isTrue();
        assertThat(mPorts.mSent.toString()).contains("\"b\"").doesNotContain("gap");
        assertThat(mPorts.mAttempts).hasSize(3);
    }

    @Test
    void brokenStream_isBilledForTokensSentToCaller() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a"));
        mPorts.mRetry = new Retry.GiveUp();
        mFlow.onFault(2, 1, broken());
        mPorts.replyToBill(3, BillResult.FIRST);
        assertThat(mPorts.mBill).isEqualTo(new BillAmount(0, 1));
        assertThat(mPorts.mStreamBroken).isTrue();
        assertThat(mPorts.errorKind()).contains(ErrorKind.STREAM_BROKEN);
        assertThat(mPorts.mStreamEnded).isFalse();
    }

    @Test
    void answerMissingOnlyClosingEvent_isComplete() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a"));
        mFlow.onChunk(1, 1, Chunks.finish("stop"));
        mFlow.onFault(2, 1, broken());
        mPorts.replyToBill(3, BillResult.FIRST);
        assertThat(mPorts.mStreamEnded).isTrue();
    }

    @Test
    void answerOverTokenLimit_isTruncated() {
        startAttempt();
        for (int i = 0; i <= LIMIT; i++) {
            mFlow.onChunk(i, 1, Chunks.token("t" + i));
        }
        assertThat(mPorts.mAttempts.get(0).mCancelled).isTrue();
        assertThat(mPorts.mBill.completionTokens()).isEqualTo(LIMIT);
        mPorts.replyToBill(9, BillResult.FIRST);
        assertThat(mPorts.mSent.toString())
                .doesNotContain("t" + LIMIT)
                .contains("\"finish_reason\":\"length\"");
    }

    @Test
    void usageAboveTheReservation_isCapped() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a long text of many bytes"));
        mFlow.onChunk(1, 1, Chunks.usage(1_000, 1_000));
        mFlow.onStreamDone(2, 1);
        assertThat(mPorts.mBill).isEqualTo(new BillAmount(20, LIMIT));
    }

    @Test
    void noUpstream_isReportedAsNotRun() {
        mPorts.mNoUpstream = Optional.of(Failure.of(ErrorKind.NO_UPSTREAM, "none"));
        startAttempt();
        assertThat(mPorts.errorKind()).contains(ErrorKind.NO_UPSTREAM);
        assertThat(mPorts.mCancelled).isEqualTo(1);
    }

    @Test
    void noUpstreamAfterFailedAttempt_isNotReportedAsNotRun() {
        startAttempt();
        mPorts.mNoUpstream = Optional.of(Failure.of(ErrorKind.NO_UPSTREAM, "none"));
        mFlow.onFault(1, 1, broken());
        assertThat(mPorts.errorKind()).contains(ErrorKind.UPSTREAM_FAILED);
    }

    @Test
    void deadlineBeforeAnyAttempt_isReportedAsNotRun() {
        mFlow.start(0);
        mPorts.mAdmissionReply.accept(0L, Optional.empty());
        mPorts.runTimers(DEADLINE_MS);
        assertThat(mPorts.errorKind()).contains(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN);
        mPorts.mReservationReply.accept(DEADLINE_MS, Optional.empty());
        assertThat(mPorts.mCancelled).isEqualTo(1);
        assertThat(mPorts.mAttempts).isEmpty();
    }

    @Test
    void deadlineDuringAttempt_cancelsItAndReportsThatItMayHaveRun() {
        startAttempt();
        mPorts.runTimers(DEADLINE_MS);
        assertThat(mPorts.mAttempts.get(0).mCancelled).isTrue();
        assertThat(mPorts.errorKind()).contains(ErrorKind.DEADLINE_EXCEEDED);
    }

    @Test
    void callerGone_cancelsAttemptAndBillsOnce() {
        startAttempt();
        mFlow.onChunk(1, 1, Chunks.token("a"));
        mFlow.onCallerGone(2);
        mFlow.onCallerGone(3);
        mPorts.replyToBill(4, BillResult.FIRST);
        assertThat(mPorts.mAttempts.get(0).mCancelled).isTrue();
        assertThat(mPorts.mBills).isEqualTo(1);
        assertThat(mPorts.mLog).contains("settle 1").containsOnlyOnce("end");
    }

    @Test
    void callerGoneBeforeStart_endsOnce() {
        mFlow.onCallerGone(0);
        mFlow.start(0);
        assertThat(mPorts.mEnds).isEqualTo(1);
        assertThat(mPorts.mReservations).isZero();
    }

    @Test
    void slowCaller_pausesUpstream() {
        startAttempt();
        mPorts.mCallerKeepsUp = false;
        mFlow.onChunk(1, 1, Chunks.token("a"));
        assertThat(mPorts.mAttempts.get(0).mPaused).isTrue();
        mFlow.onCallerWritable();
        assertThat(mPorts.mAttempts.get(0).mPaused).isFalse();
    }

    @Test
    void billingBacklog_rejectsRequestBeforeAdmission() {
        mPorts.mRefusal = Optional.of(Failure.of(ErrorKind.BILLING_BACKLOG, "full"));
        mFlow.start(0);
        assertThat(mPorts.mLog).containsExactly("fail BILLING_BACKLOG", "end");
    }

    @Test
    void upstreamRejection_isForwardedAndNotBilled() {
        startAttempt();
        mFlow.onRejected(1, 1, new UpstreamAnswer(400, "application/json", new byte[0]));
        assertThat(mPorts.mAnswer.orElseThrow().status()).isEqualTo(400);
        assertThat(mPorts.mBills).isZero();
        assertThat(mPorts.mCancelled).isEqualTo(1);
    }

    private static AttemptFault broken() {
        return new AttemptFault(AttemptOutcome.BROKEN_IN_ANSWER, "reset");
    }
}
