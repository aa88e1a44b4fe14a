package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.coordination.limit.AttemptOutcome;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.RunState;
import org.hornbeampass.state.UpstreamId;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Simulates one chat completion with upstreams, a ledger and a caller that fail at random points.
 *
 * <p>Pending events are kept in one list, and the seed determines which of them happens next.
 * Replies, chunks, failures, the deadline and the caller's disconnection thus occur in any order.
 * Events of abandoned attempts stay in the list and arrive late. Not thread-safe.
 */
final class ChatFlowSimulation {
    private static final long DEADLINE_MS = 1_000;
    private static final int PROMPT_TOKENS = 3;
    private static final int MAX_STEPS = 500;

    private final SplittableRandom mRandom;
    private final boolean mRelabelLateChunks;
    private final List<Runnable> mPending = new ArrayList<>();
    private final FakePorts mPorts = new FakePorts();
    private final List<RandomAttempt> mAttempts = new ArrayList<>();
    private final int mTokens;
    private final ChatFlow mFlow;
    private boolean mCallerGone;
    private long mCharged;
    private boolean mMayHaveSent;
    private long mNowMs;

    /** An attempt that sends chunks and fails at random. */
    private final class RandomAttempt implements Attempt {
        private final int mNumber;
        private boolean mCancelled;
        private boolean mEnded;

        RandomAttempt(int number) {
            mNumber = number;
        }

        @Override
        public UpstreamId upstream() {
            return new UpstreamId("u" + mNumber);
        }

        @Override
        public void cancel(long nowMs) {
            mCancelled = true;
        }

        @Override
        public void pause() {}

        @Override
        public void resume() {}

        /**
         * Returns the attempt number passed to the flow: the number of the newest attempt if late
         * chunks are relabelled.
         */
        private int reportedNumber() {
            return mRelabelLateChunks ? mAttempts.size() : mNumber;
        }

        private void sendNext(int token) {
            if (mRandom.nextInt(8) == 0) {
                mEnded = true;
                AttemptOutcome outcome = randomOutcome(token);
                mMayHaveSent |= outcome.mayHaveSent();
                mFlow.onFault(mNowMs, reportedNumber(), new AttemptFault(outcome, "at random"));
                if (outcome.mayHaveSent() && mRandom.nextBoolean()) {
                    mPending.add(() -> sendNext(token)); // Late events of a failed attempt.
                }
            } else if (token < mTokens) {
                mMayHaveSent = true;
                mFlow.onChunk(mNowMs, reportedNumber(), Chunks.token("t" + token + " "));
                mPending.add(() -> sendNext(token + 1));
            } else {
                mEnded = true;
                mMayHaveSent = true;
                mFlow.onChunk(mNowMs, reportedNumber(), Chunks.finish("stop"));
                mFlow.onChunk(mNowMs, reportedNumber(), Chunks.usage(PROMPT_TOKENS, mTokens));
                mFlow.onStreamDone(mNowMs, reportedNumber());
            }
        }

        private AttemptOutcome randomOutcome(int token) {
            if (token > 0) {
                return AttemptOutcome.BROKEN_IN_ANSWER;
            }
            return mRandom.nextBoolean()
                    ? AttemptOutcome.CONNECT_FAILED
                    : AttemptOutcome.REFUSED_OVERLOADED;
        }
    }

    /** Upstreams that are unavailable at random. */
    private final class RandomUpstreams implements UpstreamPort {
        @Override
        public Either<Failure, Attempt> start(
                long nowMs, int number, RelayProgress relayed, AttemptListener listener) {
            if (mRandom.nextInt(10) == 0) {
                return Either.left(Failure.of(ErrorKind.NO_UPSTREAM, "none"));
            }
            RandomAttempt attempt = new RandomAttempt(number);
            mAttempts.add(attempt);
            mPending.add(() -> attempt.sendNext((int) relayed.tokens()));
            return Either.right(attempt);
        }

        @Override
        public Retry decideRetry(long nowMs, AttemptFault fault, RelayProgress relayed) {
            return mRandom.nextInt(4) == 0
                    ? new Retry.GiveUp()
                    : new Retry.Again(mRandom.nextInt(2) * 10L);
        }
    }

    ChatFlowSimulation(long seed, boolean relabelLateChunks) {
        mRandom = new SplittableRandom(seed);
        mRelabelLateChunks = relabelLateChunks;
        mTokens = 1 + mRandom.nextInt(6);
        ChatPlan plan = new ChatPlan(true, false, 50, 10, DEADLINE_MS, "\"chatcmpl-1\"", "m");
        FlowPorts ports =
                new FlowPorts(
                        (AdmissionPort) mPorts,
                        mPorts,
                        mPorts,
                        new RandomUpstreams(),
                        mPorts,
                        mPorts,
                        mPorts);
        mFlow = new ChatFlow(plan, ports);
    }

    /** Runs the simulation to its end and returns the violated invariants, empty if all hold. */
    List<String> run() {
        mFlow.start(0);
        if (mRandom.nextInt(3) == 0) {
            mPending.add(this::disconnectCaller);
        }
        if (mRandom.nextInt(3) == 0) {
            mPending.add(() -> advanceTimeTo(DEADLINE_MS));
        }
        for (int step = 0; step < MAX_STEPS && collectReplies(); step++) {
            mPending.remove(mRandom.nextInt(mPending.size())).run();
        }
        return findings();
    }

    /**
     * Adds the replies that are due to the pending events; returns whether any event is pending.
     */
    private boolean collectReplies() {
        if (mPorts.mAdmissionReply != null) {
            var admitted = mPorts.mAdmissionReply;
            mPorts.mAdmissionReply = null;
            mPending.add(() -> admitted.accept(mNowMs, failAtRandom(ErrorKind.OVERLOADED)));
        }
        if (mPorts.mReservationReply != null) {
            var reserved = mPorts.mReservationReply;
            mPorts.mReservationReply = null;
            mPending.add(() -> replyToReservation(reserved));
        }
        if (mPorts.mBillReply != null) {
            var billed = mPorts.mBillReply;
            mPorts.mBillReply = null;
            BillResult[] results = BillResult.values();
            mPending.add(() -> replyToBill(billed, results[mRandom.nextInt(results.length)]));
        }
        if (mPending.isEmpty() && mPorts.mEnds == 0) {
            mPending.add(() -> advanceTimeTo(mNowMs + 20));
        }
        return !mPending.isEmpty();
    }

    private void replyToBill(
            java.util.function.BiConsumer<Long, Charge> billed, BillResult result) {
        long whole = mPorts.mBill.totalTokens();
        mCharged =
                switch (result) {
                    case FIRST, QUEUED -> whole;
                    case RAISED -> 1 + mRandom.nextLong(whole);
                    case DUPLICATE -> 0;
                };
        billed.accept(mNowMs, new Charge(result, mCharged));
    }

    private void replyToReservation(
            java.util.function.BiConsumer<Long, Optional<Failure>> reserved) {
        Optional<Failure> refused = failAtRandom(ErrorKind.BUDGET_EXHAUSTED);
        if (refused.isPresent()) {
            mPorts.mReservations--;
        }
        reserved.accept(mNowMs, refused);
    }

    private Optional<Failure> failAtRandom(ErrorKind kind) {
        return mRandom.nextInt(10) == 0
                ? Optional.of(Failure.of(kind, "at random"))
                : Optional.empty();
    }

    private void disconnectCaller() {
        mCallerGone = true;
        mFlow.onCallerGone(mNowMs);
    }

    private void advanceTimeTo(long nowMs) {
        mNowMs = Math.max(mNowMs, nowMs);
        mPorts.runTimers(mNowMs);
    }

    private List<String> findings() {
        List<String> findings = new ArrayList<>();
        expect(findings, mPorts.mEnds == 1, "it ended " + mPorts.mEnds + " times");
        expect(
                findings,
                mPorts.mSettledTokens == mCharged,
                "settled " + mPorts.mSettledTokens + " of a charge of " + mCharged);
        expect(findings, mPorts.mBills <= 1, "it was billed " + mPorts.mBills + " times");
        expect(
                findings,
                mPorts.mSettled + mPorts.mCancelled == mPorts.mReservations,
                "a reservation was not settled or cancelled exactly once");
        long left = mPorts.mLog.stream().filter("leave"::equals).count();
        long entered = mPorts.mLog.stream().filter("enter"::equals).count();
        expect(findings, left == entered, "it left the queue " + left + " times");
        expect(
                findings,
                mAttempts.stream().allMatch(a -> a.mEnded || a.mCancelled),
                "an abandoned attempt was not cancelled");
        checkAnswer(findings);
        checkError(findings);
        return findings;
    }

    private void checkAnswer(List<String> findings) {
        StringBuilder whole = new StringBuilder();
        for (int i = 0; i < mTokens; i++) {
            whole.append('t').append(i).append(' ');
        }
        String text = textSentToCaller();
        expect(findings, whole.toString().startsWith(text), "the caller was sent: " + text);
        if (mPorts.mStreamEnded) {
            expect(
                    findings,
                    whole.toString().equals(text),
                    "stream ended with an incomplete answer: " + text);
            expect(
                    findings,
                    mPorts.mBill.equals(new BillAmount(PROMPT_TOKENS, mTokens)),
                    "billed " + mPorts.mBill);
        }
        expect(
                findings,
                mPorts.mStreamEnded != mPorts.mFailure.isPresent(),
                "neither a complete answer nor an error, or both");
        expect(findings, text.isEmpty() || mPorts.mBills == 1, "tokens were sent but not billed");
    }

    private void checkError(List<String> findings) {
        boolean notRun =
                mPorts.errorKind().filter(k -> k.runState() == RunState.NOT_RUN).isPresent();
        boolean cancelled = mAttempts.stream().anyMatch(a -> a.mCancelled);
        expect(
                findings,
                !notRun || !(mMayHaveSent || cancelled),
                "reported as \"not run\" although it may have run");
        boolean gone = mPorts.mFailure.filter(f -> f.message().contains("caller")).isPresent();
        expect(
                findings,
                !gone || mCallerGone,
                "reported as disconnected, but the caller is still connected");
    }

    /** Returns the generated text in the chunks that the caller was sent. */
    private String textSentToCaller() {
        StringBuilder text = new StringBuilder();
        String mark = "\"content\":\"";
        String sent = mPorts.mSent.toString();
        int at = sent.indexOf(mark);
        while (at >= 0) {
            int end = sent.indexOf('"', at + mark.length());
            text.append(sent, at + mark.length(), end);
            at = sent.indexOf(mark, end);
        }
        return text.toString();
    }

    private static void expect(List<String> findings, boolean holds, String finding) {
        if (!holds) {
            findings.add(finding);
        }
    }
}
