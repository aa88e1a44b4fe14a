package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerHandler;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.requests.RequestEntry.BillEntry;
import org.hornbeampass.coordination.requests.RequestEntry.ClaimEntry;
import org.hornbeampass.coordination.requests.RequestEntry.OutcomeEntry;
import org.hornbeampass.coordination.requests.RequestEntry.WithdrawEntry;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.hornbeampass.state.requests.BillCharge;
import org.hornbeampass.state.requests.BillOutcome;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.hornbeampass.state.requests.RequestKey;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * One VM's access to the request log, which records bills, claims and outcomes of requests.
 *
 * <p>Invariants: a bill is answered only once it is durable; a remembered request has exactly one
 * bill, of the largest amount that any of its attempts used, and the amounts that its attempts
 * settle add up to that bill; a claim is granted to at most one attempt, and only once that is
 * durable; an attempt whose claim was answered with a failure is never granted it later, and its
 * claim is withdrawn durably before the id may run elsewhere. Entries that wait are kept in memory
 * until they are decided; {@link #isBacklogFull} returns whether new work must not be admitted.
 *
 * <p>Thread-safe: a single lock guards all state; calls, messages and callbacks run without it.
 */
public final class RequestLedger {

    private final LedgerSettings mSettings;
    private final Object mLock = new Object();
    private final ShardDispatcher mDispatcher;
    private final SettingsAgreement mAgreement;
    private final PendingClaims mClaims;
    private final RepeatLimiter mRepeatLimiter;
    private final List<LongConsumer> mDrainCallbacks = new ArrayList<>();

    private int mPendingCount;
    private long mPendingChars;
    private boolean mDraining;

    /**
     * Creates a ledger without waiting entries.
     *
     * @param platform the platform that stores the log
     * @param background the same platform, used for checkpoints and truncation, which are less
     *     urgent
     * @param peers the other routers
     * @param self this VM
     * @param owners determines which VM usually writes each shard
     * @param isGone whether a VM's incarnation is known to have ended
     * @param settings shards, retention and batching
     * @param seed seed of the jitter of retries
     */
    public RequestLedger(
            Platform platform,
            Platform background,
            PeerNetwork peers,
            VmId self,
            ShardOwners owners,
            Predicate<VmId> isGone,
            LedgerSettings settings,
            long seed) {
        mSettings = settings;
        mClaims = new PendingClaims(isGone);
        mRepeatLimiter = new RepeatLimiter(settings.retention());
        SplittableRandom random = new SplittableRandom(seed);
        mAgreement = new SettingsAgreement(platform, settings, this::runLocked, random.split());
        mDispatcher =
                new ShardDispatcher(
                        new ShardDispatcher.Connections(platform, background, peers),
                        self,
                        owners,
                        settings,
                        this::runLocked,
                        mAgreement::isMatching,
                        random);
    }

    /**
     * Returns why this VM must not accept requests: the fleet's settings of the log have not been
     * read yet, or differ from those of this VM. Until it returns empty, the log is neither read
     * nor written.
     */
    public Optional<Failure> readinessFailure() {
        synchronized (mLock) {
            return mAgreement.readinessFailure();
        }
    }

    /**
     * Returns why a request must not run, as far as this VM knows without asking others.
     *
     * @param nowMs the present time in milliseconds
     * @param key the request
     * @return {@code IDEMPOTENCY_KEY_EXPIRED} if the timestamp in the key is too far from now, or
     *     if too many attempts of the request were answered without being billed
     */
    public Optional<Failure> rejectionReason(long nowMs, RequestKey key) {
        if (ClaimTable.isExpired(key.request(), nowMs, mSettings.retention())) {
            return Optional.of(
                    Failure.of(
                            ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                            "the timestamp in the key is too far from now; use a new key if the"
                                    + " request is new"));
        }
        synchronized (mLock) {
            if (!mRepeatLimiter.isExhausted(nowMs, key)) {
                return Optional.empty();
            }
        }
        return Optional.of(
                Failure.of(
                        ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                        "the request was repeated too many times; use a new key"));
    }

    /**
     * Bills the tokens that an attempt used, durably.
     *
     * @param nowMs the present time in milliseconds
     * @param bill the bill
     * @param done called once the bill is durable, with the time in milliseconds, the outcome and
     *     the tokens to settle
     */
    public void bill(long nowMs, Bill bill, BiConsumer<Long, Either<Failure, BillCharge>> done) {
        runLocked(
                deferred ->
                        enqueue(
                                nowMs,
                                new BillEntry(bill),
                                (atMs, decision) -> onBillDecision(atMs, bill, decision, done),
                                deferred));
    }

    private void onBillDecision(
            long nowMs,
            Bill bill,
            EntryDecision decision,
            BiConsumer<Long, Either<Failure, BillCharge>> done) {
        synchronized (mLock) {
            mRepeatLimiter.recordRepeats(nowMs, bill.key(), decision.repeats());
        }
        BillOutcome outcome =
                switch (decision.kind()) {
                    case BILLED -> BillOutcome.BILLED;
                    case RAISED -> BillOutcome.RAISED;
                    default -> BillOutcome.DUPLICATE;
                };
        done.accept(nowMs, Either.right(new BillCharge(outcome, decision.charged())));
    }

    /**
     * Claims the right to run a call that may not be repeated. A failure means that this attempt
     * did not run the call and never will, and the caller may be told so.
     *
     * @param nowMs the present time in milliseconds
     * @param claim the claim
     * @param done called with the time in milliseconds and the outcome
     */
    public void claim(
            long nowMs, Claim claim, BiConsumer<Long, Either<Failure, ClaimOutcome>> done) {
        long deadlineMs = nowMs + mSettings.claimWaitMs();
        runLocked(
                deferred -> {
                    PendingClaims.PendingClaim pendingClaim = mClaims.add(claim, deadlineMs, done);
                    enqueue(
                            nowMs,
                            new ClaimEntry(claim),
                            (atMs, decision) ->
                                    runLocked(
                                            d ->
                                                    mClaims.onDecision(
                                                            atMs, pendingClaim, decision, d)),
                            deferred);
                });
    }

    /**
     * Withdraws a claim whose attempt has sent nothing to an upstream and never will.
     *
     * @param nowMs the present time in milliseconds
     * @param claim the claim
     */
    public void withdraw(long nowMs, Claim claim) {
        runLocked(deferred -> enqueueWithdrawal(nowMs, claim, deferred));
    }

    private void enqueueWithdrawal(long nowMs, Claim claim, AfterUnlockActions deferred) {
        long atMs = Math.max(nowMs, claim.admittedAtMs());
        AttemptId attempt = claim.attempt();
        enqueue(
                nowMs,
                new WithdrawEntry(claim.key(), attempt, atMs),
                (t, decision) -> {},
                deferred);
    }

    /**
     * Records the outcome of a claimed call, durably.
     *
     * @param nowMs the present time in milliseconds
     * @param outcome the outcome
     * @param done called with the time in milliseconds and whether the outcome was recorded; it is
     *     not recorded if the attempt does not hold the claim
     */
    public void recordOutcome(
            long nowMs, CallOutcome outcome, BiConsumer<Long, Either<Failure, Boolean>> done) {
        runLocked(
                deferred ->
                        enqueue(
                                nowMs,
                                new OutcomeEntry(outcome),
                                (atMs, decision) ->
                                        done.accept(
                                                atMs,
                                                Either.right(
                                                        decision.kind()
                                                                == EntryDecision.Kind.DONE)),
                                deferred));
    }

    private void enqueue(
            long nowMs,
            RequestEntry entry,
            BiConsumer<Long, EntryDecision> done,
            AfterUnlockActions deferred) {
        String text = EntryCodec.encode(entry);
        boolean[] decided = new boolean[1];
        PendingEntry pending =
                new PendingEntry(
                        entry,
                        text,
                        true,
                        (atMs, decision) -> {
                            if (countDecided(decided, text)) {
                                done.accept(atMs, decision);
                            }
                        });
        mPendingCount++;
        mPendingChars += text.length();
        mDispatcher.add(nowMs, shardOf(entry.key()), pending, deferred);
    }

    /** Counts an entry as no longer waiting; returns false if it was decided before. */
    private boolean countDecided(boolean[] decided, String text) {
        synchronized (mLock) {
            if (decided[0]) {
                return false;
            }
            decided[0] = true;
            mPendingCount--;
            mPendingChars -= text.length();
            return true;
        }
    }

    private int shardOf(RequestKey key) {
        return RequestFingerprint.shard(key.organisation(), key.request(), mSettings.shards());
    }

    /** Returns whether so many entries wait to become durable that new work must be rejected. */
    public boolean isBacklogFull() {
        synchronized (mLock) {
            return mPendingCount >= mSettings.backlog().maxEntries()
                    || mPendingChars >= mSettings.backlog().maxBytes();
        }
    }

    /** Returns the number of entries of this VM that are not durable yet. */
    public int pendingCount() {
        synchronized (mLock) {
            return mPendingCount;
        }
    }

    /**
     * Sends and appends entries that are due and times out claims; to be called regularly.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        runLocked(
                deferred -> {
                    mAgreement.step(nowMs, deferred);
                    mClaims.expire(nowMs, deferred)
                            .forEach(c -> enqueueWithdrawal(nowMs, c, deferred));
                    mDispatcher.tick(nowMs, deferred);
                    finishDrain(nowMs, deferred);
                });
    }

    /** Returns the handler of entries that other VMs submit for shards that this VM owns. */
    public PeerHandler<SubmitEntries> submitHandler() {
        return (nowMs, from, message, reply) ->
                runLocked(
                        deferred -> {
                            if (mDraining) {
                                ShardDispatcher.reject(reply, deferred);
                            } else {
                                mDispatcher.onSubmission(nowMs, message, reply, deferred);
                            }
                        });
    }

    /**
     * Rejects further entries of other VMs, and reports when no entry of this VM or of others waits
     * any more; {@link #tick} must still be called until then.
     *
     * @param nowMs the present time in milliseconds
     * @param done called with the time in milliseconds at which all entries are durable
     */
    public void drain(long nowMs, LongConsumer done) {
        runLocked(
                deferred -> {
                    mDraining = true;
                    mDrainCallbacks.add(done);
                    finishDrain(nowMs, deferred);
                });
    }

    private void finishDrain(long nowMs, AfterUnlockActions deferred) {
        if (mDrainCallbacks.isEmpty() || mPendingCount > 0 || !mDispatcher.isIdle()) {
            return;
        }
        List<LongConsumer> callbacks = List.copyOf(mDrainCallbacks);
        mDrainCallbacks.clear();
        callbacks.forEach(w -> deferred.add(() -> w.accept(nowMs)));
    }

    private void runLocked(Consumer<AfterUnlockActions> step) {
        AfterUnlockActions deferred = new AfterUnlockActions();
        synchronized (mLock) {
            step.accept(deferred);
        }
        deferred.run();
    }
}
