package org.hornbeampass.router.flow;

import io.vavr.control.Either;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.UpstreamId;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Ports that record the calls of a flow and let the test send each reply.
 *
 * <p>Not thread-safe.
 */
final class FakePorts
        implements AdmissionPort,
                BudgetPort,
                BillPort,
                ClaimPort,
                UpstreamPort,
                CallerPort,
                TimerPort,
                FlowObserver {
    final List<String> mLog = new ArrayList<>();
    final List<FakeAttempt> mAttempts = new ArrayList<>();
    final List<Timer> mTimers = new ArrayList<>();
    final StringBuilder mSent = new StringBuilder();
    Optional<Failure> mRefusal = Optional.empty();
    Optional<Failure> mNoUpstream = Optional.empty();
    Retry mRetry = new Retry.Again(0);
    boolean mCallerKeepsUp = true;
    BiConsumer<Long, Optional<Failure>> mAdmissionReply;
    BiConsumer<Long, Optional<Failure>> mReservationReply;
    BiConsumer<Long, Charge> mBillReply;
    BiConsumer<Long, ClaimResult> mClaimReply;
    LongConsumer mRecordReply;
    long mReservedTokens;
    RelayProgress mLastRelayed = RelayProgress.NOTHING;
    Optional<Failure> mFailure = Optional.empty();
    Optional<UpstreamAnswer> mAnswer = Optional.empty();
    boolean mStreamEnded;
    boolean mStreamBroken;
    BillAmount mBill = BillAmount.NOTHING;
    int mBills;
    int mReservations;
    int mSettled;
    long mSettledTokens;
    int mCancelled;
    int mEnds;

    /** A timer that runs when the test calls {@link #runTimers}. */
    static final class Timer {
        final long mAtMs;
        final LongConsumer mAction;
        boolean mInactive;

        Timer(long atMs, LongConsumer action) {
            mAtMs = atMs;
            mAction = action;
        }
    }

    /** An attempt that only records calls. */
    final class FakeAttempt implements Attempt {
        final int mNumber;
        boolean mCancelled;
        boolean mPaused;

        FakeAttempt(int number) {
            mNumber = number;
        }

        @Override
        public UpstreamId upstream() {
            return new UpstreamId("u" + mNumber);
        }

        @Override
        public void cancel(long nowMs) {
            mCancelled = true;
            mLog.add("cancel " + mNumber);
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
        }
    }

    FlowPorts ports() {
        return new FlowPorts(this, this, this, this, this, this, this);
    }

    /** Admits the request and grants its reservation, so that an attempt starts. */
    void admitAndReserve() {
        mAdmissionReply.accept(0L, Optional.empty());
        mReservationReply.accept(0L, Optional.empty());
    }

    void runTimers(long nowMs) {
        for (Timer timer : List.copyOf(mTimers)) {
            if (!timer.mInactive && timer.mAtMs <= nowMs) {
                timer.mInactive = true;
                timer.mAction.accept(nowMs);
            }
        }
    }

    Optional<ErrorKind> errorKind() {
        return mFailure.map(Failure::kind);
    }

    @Override
    public void enter(long nowMs, BiConsumer<Long, Optional<Failure>> done) {
        mLog.add("enter");
        mAdmissionReply = done;
    }

    @Override
    public void leave(long nowMs) {
        mLog.add("leave");
    }

    @Override
    public void reserve(long nowMs, long tokens, BiConsumer<Long, Optional<Failure>> done) {
        mReservations++;
        mReservedTokens = tokens;
        mLog.add("reserve " + tokens);
        mReservationReply = done;
    }

    @Override
    public void settle(long nowMs, long tokens) {
        mSettled++;
        mSettledTokens += tokens;
        mLog.add("settle " + tokens);
    }

    @Override
    public void cancel(long nowMs) {
        mCancelled++;
        mLog.add("cancel reservation");
    }

    @Override
    public Optional<Failure> refusal(long nowMs) {
        return mRefusal;
    }

    @Override
    public void bill(long nowMs, BillAmount bill, BiConsumer<Long, Charge> done) {
        mBills++;
        mBill = bill;
        mLog.add("bill " + bill.promptTokens() + "+" + bill.completionTokens());
        mBillReply = done;
    }

    /** Replies to the bill: a duplicate is charged nothing, and a raise all but one token. */
    void replyToBill(long nowMs, BillResult result) {
        long tokens =
                switch (result) {
                    case FIRST, QUEUED -> mBill.totalTokens();
                    case RAISED -> mBill.totalTokens() - 1;
                    case DUPLICATE -> 0;
                };
        var done = mBillReply;
        mBillReply = null;
        done.accept(nowMs, new Charge(result, tokens));
    }

    @Override
    public void claim(long nowMs, BiConsumer<Long, ClaimResult> done) {
        mLog.add("claim");
        mClaimReply = done;
    }

    @Override
    public void release(long nowMs) {
        mLog.add("release");
    }

    @Override
    public void record(long nowMs, UpstreamAnswer answer, LongConsumer done) {
        mLog.add("record " + answer.status());
        mRecordReply = done;
    }

    @Override
    public Either<Failure, Attempt> start(
            long nowMs, int number, RelayProgress relayed, AttemptListener listener) {
        if (mNoUpstream.isPresent()) {
            return Either.left(mNoUpstream.get());
        }
        mLog.add("start " + number);
        mLastRelayed = relayed;
        FakeAttempt attempt = new FakeAttempt(number);
        mAttempts.add(attempt);
        return Either.right(attempt);
    }

    @Override
    public Retry decideRetry(long nowMs, AttemptFault fault, RelayProgress relayed) {
        return mRetry;
    }

    @Override
    public void fail(Failure failure) {
        mFailure = Optional.of(failure);
        mLog.add("fail " + failure.kind());
    }

    @Override
    public void respond(int status, String contentType, byte[] body) {
        mAnswer = Optional.of(new UpstreamAnswer(status, contentType, body));
        mLog.add("respond " + status);
    }

    @Override
    public void startStream() {
        mLog.add("start stream");
    }

    @Override
    public boolean sendEvent(byte[] data) {
        mSent.append(new String(data, StandardCharsets.UTF_8)).append('\n');
        return mCallerKeepsUp;
    }

    @Override
    public void endStream() {
        mStreamEnded = true;
        mLog.add("end stream");
    }

    @Override
    public void breakStream(Failure failure) {
        mStreamBroken = true;
        mFailure = Optional.of(failure);
        mLog.add("break stream " + failure.kind());
    }

    @Override
    public Runnable schedule(long nowMs, long atMs, LongConsumer action) {
        Timer timer = new Timer(atMs, action);
        mTimers.add(timer);
        return () -> timer.mInactive = true;
    }

    @Override
    public void onFirstPart(long nowMs) {}

    @Override
    public void onPart(long nowMs) {}

    @Override
    public void onInternalFault(RuntimeException fault) {
        throw fault;
    }

    @Override
    public void onEnd(
            long nowMs, Optional<ErrorKind> error, BillAmount bill, Optional<Charge> charge) {
        mEnds++;
        mLog.add("end");
    }
}
