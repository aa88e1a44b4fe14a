package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.log.ShardLog;
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
import org.hornbeampass.state.requests.BillOutcome;
import org.hornbeampass.state.requests.CallOutcome;
import org.hornbeampass.state.requests.Claim;
import org.hornbeampass.state.requests.ClaimOutcome;
import org.hornbeampass.state.requests.RequestKey;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * One VM's door to the request log: bills, claims and outcomes of requests.
 *
 * <p>Invariants: a bill is answered only once it is durable; of all attempts of a remembered
 * request exactly one is billed; a claim is granted to one attempt ever, and only once that is
 * durable; an attempt whose claim was answered with a failure is never granted later, and its claim
 * is withdrawn durably before the id may run elsewhere. What waits is kept in memory until it is
 * decided; {@link #backlogFull} tells when no new work may be admitted.
 *
 * <p>Thread-safe: one lock guards all state, and it is the only lock; calls, messages and callbacks
 * run without it.
 */
public final class RequestLedger {
    private static final String PREFIX = "requests/";
    private static final long HOLD_MS = 1_500;
    private static final long CUT_OFF_MS = 3_000;
    private static final long REPLICA_IDLE_MS = 60_000;
    private static final int MAX_LOADING = 4;

    private final Platform mPlatform;
    private final PeerNetwork mPeers;
    private final VmId mSelf;
    private final ShardOwners mOwners;
    private final Predicate<VmId> mProvedGone;
    private final LedgerSettings mSettings;
    private final Object mLock = new Object();
    private final SplittableRandom mRandom;
    private final Map<Integer, ShardOutbox> mOutboxes = new HashMap<>();
    private final Map<Integer, ShardReplica> mReplicas = new HashMap<>();
    private final Map<Integer, Long> mReplicaUsedMs = new HashMap<>();
    private final Deque<PendingClaim> mClaims = new ArrayDeque<>();
    private final List<EntryReception> mReceptions = new ArrayList<>();
    private final List<LongConsumer> mHandOvers = new ArrayList<>();
    private final RepeatLimit mRepeats;

    private long mWriterSequence;
    private int mWaiting;
    private long mWaitingBytes;
    private boolean mHandingOver;

    /** A claim that may time out. */
    private static final class PendingClaim {
        private final Claim mClaim;
        private final long mDeadlineMs;
        private final BiConsumer<Long, Either<Failure, ClaimOutcome>> mDone;
        private boolean mAnswered;

        private PendingClaim(
                Claim claim,
                long deadlineMs,
                BiConsumer<Long, Either<Failure, ClaimOutcome>> done) {
            mClaim = claim;
            mDeadlineMs = deadlineMs;
            mDone = done;
        }
    }

    /**
     * Creates a ledger in which nothing waits.
     *
     * @param platform the platform that keeps the log
     * @param peers the other routers
     * @param self this VM
     * @param owners who usually writes each shard
     * @param provedGone whether a VM's life is proved to be over
     * @param settings shards, retention and batching
     * @param seed seeds the jitter of retries
     */
    public RequestLedger(
            Platform platform,
            PeerNetwork peers,
            VmId self,
            ShardOwners owners,
            Predicate<VmId> provedGone,
            LedgerSettings settings,
            long seed) {
        mPlatform = platform;
        mPeers = peers;
        mSelf = self;
        mOwners = owners;
        mProvedGone = provedGone;
        mSettings = settings;
        mRandom = new SplittableRandom(seed);
        mRepeats = new RepeatLimit(settings.retention());
    }

    /**
     * Says why a request must not be run, as far as this VM knows without asking.
     *
     * @param nowMs the present time in milliseconds
     * @param key the request
     * @return {@code IDEMPOTENCY_KEY_EXPIRED} where the key's own time is too old, or where too
     *     many attempts of the request were answered without being billed
     */
    public Optional<Failure> refusal(long nowMs, RequestKey key) {
        if (ClaimMemory.expired(key.request(), nowMs, mSettings.retention())) {
            return Optional.of(
                    Failure.of(
                            ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                            "the time in the key is too far from now; use a new key if the request"
                                    + " is new"));
        }
        synchronized (mLock) {
            if (!mRepeats.exhausted(nowMs, key)) {
                return Optional.empty();
            }
        }
        return Optional.of(
                Failure.of(
                        ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                        "the request was answered too many times; use a new key"));
    }

    /**
     * Records what an attempt used, durably.
     *
     * @param nowMs the present time in milliseconds
     * @param bill the bill
     * @param done takes the time in milliseconds and the outcome, once it is durable
     */
    public void bill(long nowMs, Bill bill, BiConsumer<Long, Either<Failure, BillOutcome>> done) {
        locked(
                deferred ->
                        enqueue(
                                nowMs,
                                new BillEntry(bill),
                                (atMs, decision) -> billed(atMs, bill, decision, done),
                                deferred));
    }

    private void billed(
            long nowMs,
            Bill bill,
            EntryDecision decision,
            BiConsumer<Long, Either<Failure, BillOutcome>> done) {
        synchronized (mLock) {
            mRepeats.note(nowMs, bill.key(), decision.repeats());
        }
        boolean stands = decision.kind() == EntryDecision.Kind.BILLED;
        done.accept(nowMs, Either.right(stands ? BillOutcome.BILLED : BillOutcome.DUPLICATE));
    }

    /**
     * Asks for the right to run a call that may not be repeated. Answered with a failure, the call
     * did not run and never will by this attempt: the caller may be told so.
     *
     * @param nowMs the present time in milliseconds
     * @param claim the claim
     * @param done takes the time in milliseconds and the outcome
     */
    public void claim(
            long nowMs, Claim claim, BiConsumer<Long, Either<Failure, ClaimOutcome>> done) {
        PendingClaim pending = new PendingClaim(claim, nowMs + mSettings.claimWaitMs(), done);
        locked(
                deferred -> {
                    mClaims.addLast(pending);
                    enqueue(
                            nowMs,
                            new ClaimEntry(claim),
                            (atMs, decision) -> locked(d -> claimed(atMs, pending, decision, d)),
                            deferred);
                });
    }

    private void claimed(
            long nowMs, PendingClaim pending, EntryDecision decision, Deferred deferred) {
        if (pending.mAnswered) {
            return;
        }
        pending.mAnswered = true;
        Either<Failure, ClaimOutcome> outcome = ClaimAnswer.of(decision, mProvedGone);
        deferred.add(() -> pending.mDone.accept(nowMs, outcome));
    }

    /**
     * Gives up a claim whose attempt has sent nothing to an upstream and never will.
     *
     * @param nowMs the present time in milliseconds
     * @param claim the claim
     */
    public void withdraw(long nowMs, Claim claim) {
        locked(deferred -> enqueueWithdrawal(nowMs, claim, deferred));
    }

    private void enqueueWithdrawal(long nowMs, Claim claim, Deferred deferred) {
        long atMs = Math.max(nowMs, claim.admittedAtMs());
        AttemptId attempt = claim.attempt();
        enqueue(
                nowMs,
                new WithdrawEntry(claim.key(), attempt, atMs),
                (t, decision) -> {},
                deferred);
    }

    /**
     * Records the outcome of a call that was claimed, durably.
     *
     * @param nowMs the present time in milliseconds
     * @param outcome the outcome
     * @param done takes the time in milliseconds and whether it is recorded; it is not where the
     *     attempt does not hold the claim
     */
    public void recordOutcome(
            long nowMs, CallOutcome outcome, BiConsumer<Long, Either<Failure, Boolean>> done) {
        locked(
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
            Deferred deferred) {
        String text = EntryCodec.encode(entry);
        boolean[] decided = new boolean[1];
        Proposal proposal =
                new Proposal(
                        entry,
                        text,
                        true,
                        (atMs, decision) -> {
                            if (countDecided(decided, text)) {
                                done.accept(atMs, decision);
                            }
                        });
        mWaiting++;
        mWaitingBytes += text.length();
        int shard = shardOf(entry.key());
        outbox(shard).add(proposal);
        forward(nowMs, shard, deferred);
    }

    /** Counts an entry as no longer waiting; returns false where it was decided before. */
    private boolean countDecided(boolean[] decided, String text) {
        synchronized (mLock) {
            if (decided[0]) {
                return false;
            }
            decided[0] = true;
            mWaiting--;
            mWaitingBytes -= text.length();
            return true;
        }
    }

    private int shardOf(RequestKey key) {
        return RequestFingerprint.shard(key.organisation(), key.request(), mSettings.shards());
    }

    /** Returns whether so much waits to become durable that new work must be refused. */
    public boolean backlogFull() {
        synchronized (mLock) {
            return mWaiting >= mSettings.backlog().maxEntries()
                    || mWaitingBytes >= mSettings.backlog().maxBytes();
        }
    }

    /** Returns how many of this VM's own entries are not durable yet. */
    public int waiting() {
        synchronized (mLock) {
            return mWaiting;
        }
    }

    /**
     * Sends, appends and times out what is due.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        locked(
                deferred -> {
                    expireClaims(nowMs, deferred);
                    for (int shard = 0; shard < mSettings.shards(); shard++) {
                        forward(nowMs, shard, deferred);
                        keepReplica(nowMs, shard, deferred);
                    }
                    mReceptions.removeIf(r -> r.answeredOrRefused(nowMs, HOLD_MS, deferred));
                    finishHandOver(nowMs, deferred);
                });
    }

    private void expireClaims(long nowMs, Deferred deferred) {
        Iterator<PendingClaim> each = mClaims.iterator();
        while (each.hasNext()) {
            PendingClaim pending = each.next();
            if (!pending.mAnswered && pending.mDeadlineMs > nowMs) {
                break;
            }
            each.remove();
            if (!pending.mAnswered) {
                pending.mAnswered = true;
                Failure late =
                        Failure.of(
                                ErrorKind.PLATFORM_UNAVAILABLE,
                                "the call could not be claimed in time; it did not run");
                enqueueWithdrawal(nowMs, pending.mClaim, deferred);
                deferred.add(() -> pending.mDone.accept(nowMs, Either.left(late)));
            }
        }
    }

    private void forward(long nowMs, int shard, Deferred deferred) {
        ShardOutbox outbox = mOutboxes.get(shard);
        if (outbox == null || outbox.isEmpty()) {
            return;
        }
        Optional<VmId> owner = mOwners.owner(shard);
        boolean owned = owner.isEmpty() || owner.get().equals(mSelf);
        if (!owned && !outbox.direct(nowMs)) {
            outbox.sendTo(nowMs, owner.orElseThrow(), deferred);
            return;
        }
        ShardReplica replica = replica(nowMs, shard);
        if (owned && replica.failingForMs(nowMs) >= CUT_OFF_MS) {
            mOwners.backup(shard).ifPresent(b -> outbox.sendTo(nowMs, b, deferred));
        } else if (owned || replica.healthy()) {
            outbox.drainTo(nowMs, replica, deferred);
        }
        replica.step(nowMs, deferred);
    }

    private ShardOutbox outbox(int shard) {
        return mOutboxes.computeIfAbsent(
                shard, s -> new ShardOutbox(s, mPeers, this::locked, mRandom.split()));
    }

    private ShardReplica replica(long nowMs, int shard) {
        mReplicaUsedMs.put(shard, nowMs);
        return mReplicas.computeIfAbsent(
                shard,
                s ->
                        new ShardReplica(
                                new ShardLog(mPlatform, PREFIX + s),
                                mSelf,
                                mSettings,
                                this::locked,
                                () -> mWriterSequence++,
                                mRandom.split()));
    }

    /** Opens the copies of owned shards, a few at a time, and closes others that are not used. */
    private void keepReplica(long nowMs, int shard, Deferred deferred) {
        ShardReplica replica = mReplicas.get(shard);
        boolean owned = mOwners.owner(shard).equals(Optional.of(mSelf));
        if (replica == null) {
            long loading = mReplicas.values().stream().filter(r -> !r.healthy()).count();
            if (owned && loading < MAX_LOADING) {
                replica(nowMs, shard).step(nowMs, deferred);
            }
            return;
        }
        boolean unused = nowMs - mReplicaUsedMs.get(shard) > REPLICA_IDLE_MS;
        if (!owned && unused && replica.idle()) {
            mReplicas.remove(shard);
            return;
        }
        if (replica.failingForMs(nowMs) >= CUT_OFF_MS) {
            outbox(shard).addFirst(replica.recall());
        }
        replica.step(nowMs, deferred);
    }

    /** Returns the handler of other VMs' entries for shards that this VM owns. */
    public PeerHandler<SubmitEntries> submitHandler() {
        return (nowMs, from, message, reply) ->
                locked(deferred -> receive(nowMs, message, reply, deferred));
    }

    private void receive(
            long nowMs,
            SubmitEntries message,
            Consumer<org.hornbeampass.coordination.peer.PeerMessage> reply,
            Deferred deferred) {
        boolean known = message.shard() >= 0 && message.shard() < mSettings.shards();
        if (!known || mHandingOver) {
            deferred.add(() -> reply.accept(new EntriesRefused(HOLD_MS)));
            return;
        }
        ShardReplica replica = replica(nowMs, message.shard());
        List<RequestEntry> entries = new ArrayList<>();
        message.entries().forEach(t -> EntryCodec.decode(t).forEach(entries::add));
        boolean full = replica.waiting() + entries.size() > mSettings.backlog().maxOwnerEntries();
        if (full || entries.size() != message.entries().size() || entries.isEmpty()) {
            deferred.add(() -> reply.accept(new EntriesRefused(HOLD_MS)));
            return;
        }
        EntryReception reception = new EntryReception(entries.size(), nowMs, reply);
        mReceptions.add(reception);
        for (int i = 0; i < entries.size(); i++) {
            int index = i;
            Proposal proposal =
                    new Proposal(
                            entries.get(i),
                            message.entries().get(i),
                            false,
                            (atMs, decision) -> locked(d -> reception.decided(index, decision, d)));
            replica.submit(nowMs, proposal, deferred);
        }
    }

    /**
     * Stops taking entries of other VMs, and tells when nothing of this VM's own or of theirs waits
     * any more; {@link #tick} must go on until then.
     *
     * @param nowMs the present time in milliseconds
     * @param done takes the time in milliseconds at which all is durable
     */
    public void handOver(long nowMs, LongConsumer done) {
        locked(
                deferred -> {
                    mHandingOver = true;
                    mHandOvers.add(done);
                    finishHandOver(nowMs, deferred);
                });
    }

    private void finishHandOver(long nowMs, Deferred deferred) {
        boolean busy = mWaiting > 0 || mReplicas.values().stream().anyMatch(r -> !r.idle());
        if (mHandOvers.isEmpty() || busy) {
            return;
        }
        List<LongConsumer> waiting = List.copyOf(mHandOvers);
        mHandOvers.clear();
        waiting.forEach(w -> deferred.add(() -> w.accept(nowMs)));
    }

    private void locked(Consumer<Deferred> step) {
        Deferred deferred = new Deferred();
        synchronized (mLock) {
            step.accept(deferred);
        }
        deferred.run();
    }
}
