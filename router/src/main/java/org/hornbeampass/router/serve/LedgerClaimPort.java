package org.hornbeampass.router.serve;

import io.vavr.control.Either;

import org.hornbeampass.coordination.requests.RequestLedger;
import org.hornbeampass.router.flow.ClaimPort;
import org.hornbeampass.router.flow.ClaimResult;
import org.hornbeampass.router.flow.TimerPort;
import org.hornbeampass.router.flow.UpstreamAnswer;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.hornbeampass.state.requests.RequestKey;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Claims one call and records its outcome in the VM's request ledger.
 *
 * <p>Thread-safe.
 */
final class LedgerClaimPort implements ClaimPort {
    private static final long RUNNING_RETRY_MS = 1_000;
    private static final String BODY_NOT_STORED =
            "{\"recorded\":true,\"detail\":\"the call ran; its answer was too long, or not text,"
                    + " and only its status is kept\"}";

    private final RequestLedger mLedger;
    private final org.hornbeampass.state.requests.Claim mClaim;
    private final TimerPort mTimers;
    private final long mRecordBoundMs;

    LedgerClaimPort(
            RequestLedger ledger,
            RequestKey key,
            AttemptId attempt,
            long admittedMs,
            TimerPort timers,
            long recordBoundMs) {
        mLedger = ledger;
        mClaim = new org.hornbeampass.state.requests.Claim(key, attempt, admittedMs);
        mTimers = timers;
        mRecordBoundMs = recordBoundMs;
    }

    @Override
    public void claim(long nowMs, BiConsumer<Long, ClaimResult> done) {
        mLedger.claim(nowMs, mClaim, (t, outcome) -> done.accept(t, toClaim(outcome)));
    }

    @Override
    public void release(long nowMs) {
        mLedger.withdraw(nowMs, mClaim);
    }

    @Override
    public void record(long nowMs, UpstreamAnswer answer, LongConsumer done) {
        AtomicBoolean answered = new AtomicBoolean();
        LongConsumer once =
                t -> {
                    if (answered.compareAndSet(false, true)) {
                        done.accept(t);
                    }
                };
        Runnable timer = mTimers.schedule(nowMs, nowMs + mRecordBoundMs, once);
        mLedger.recordOutcome(
                nowMs,
                outcome(answer),
                (t, recorded) -> {
                    timer.run();
                    once.accept(t);
                });
    }

    private CallOutcome outcome(UpstreamAnswer answer) {
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        boolean storable =
                text.length() <= CallOutcome.MAX_BODY_CHARS
                        && Arrays.equals(text.getBytes(StandardCharsets.UTF_8), answer.body());
        return new CallOutcome(
                mClaim.key(),
                mClaim.attempt(),
                answer.status(),
                storable ? answer.contentType() : "application/json",
                storable ? text : BODY_NOT_STORED);
    }

    private static ClaimResult toClaim(Either<Failure, ClaimOutcome> outcome) {
        if (outcome.isLeft()) {
            return new ClaimResult.Refused(outcome.getLeft());
        }
        ClaimOutcome claim = outcome.get();
        return switch (claim.status()) {
            case GRANTED -> new ClaimResult.Granted();
            case RECORDED -> new ClaimResult.Recorded(answer(claim.recorded().orElseThrow()));
            case RUNNING ->
                    new ClaimResult.Refused(
                            Failure.retryAfter(
                                    ErrorKind.ALREADY_RUNNING,
                                    "the call is already running with this key; retry it to get its"
                                            + " answer",
                                    RUNNING_RETRY_MS));
            case OUTCOME_UNKNOWN ->
                    refused(
                            ErrorKind.OUTCOME_UNKNOWN,
                            "the call may have run with this key and its router has failed; check"
                                    + " the service's own records before sending it with a new"
                                    + " key");
            case KEY_REUSED ->
                    refused(
                            ErrorKind.IDEMPOTENCY_KEY_REUSED,
                            "header idempotency-key was used for another call; use a new key");
            case EXPIRED ->
                    refused(
                            ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                            "header idempotency-key is too old to tell whether it was used; use a"
                                    + " new key if the call is new");
        };
    }

    private static UpstreamAnswer answer(CallOutcome outcome) {
        return new UpstreamAnswer(
                outcome.httpStatus(),
                outcome.contentType(),
                outcome.body().getBytes(StandardCharsets.UTF_8));
    }

    private static ClaimResult refused(ErrorKind kind, String message) {
        return new ClaimResult.Refused(Failure.of(kind, message));
    }
}
