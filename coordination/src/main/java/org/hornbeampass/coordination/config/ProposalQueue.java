package org.hornbeampass.coordination.config;

import io.vavr.control.Either;

import org.hornbeampass.coordination.config.rule.ConfigRules;
import org.hornbeampass.coordination.config.rule.Finding;
import org.hornbeampass.coordination.log.AppendResult;
import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.membership.Outbox;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.config.ConfigChange;
import org.hornbeampass.state.config.ConfigSnapshot;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Appends the changes proposed on this VM to the log on the platform, one at a time.
 *
 * <p>Invariants: a change is validated against the configuration directly before its position in
 * the log, since an append succeeds only at the end of the log; an append whose result is unknown
 * is retried with the same entry at the same position until the result is known, so a lost reply
 * never causes a second entry; each proposal is completed once, with success only if its entry is
 * in the log, and with a failure other than {@code OUTCOME_UNKNOWN} only if it never will be. Not
 * thread-safe: guarded by the lock of {@link ConfigStore}.
 */
final class ProposalQueue {
    private static final int MAX_QUEUED = 256;

    private final ConfigState mState;
    private final Deque<Proposal> mQueue = new ArrayDeque<>();
    private Optional<Attempt> mAttempt = Optional.empty();
    private long mNextNumber = 1;
    private long mNextAppendMs;

    /** A proposal that has not been completed yet. */
    private record Proposal(
            ConfigChange change,
            long expectedRevision,
            long deadlineMs,
            BiConsumer<Long, Either<Failure, Long>> done) {}

    /** The current attempt of the first proposal: an entry for one position of the log. */
    private static final class Attempt {
        private final Proposal mProposal;
        private final ConfigEntry mEntry;
        private final String mText;
        private boolean mAppendInProgress;

        Attempt(Proposal proposal, ConfigEntry entry) {
            mProposal = proposal;
            mEntry = entry;
            mText = Json.encode(entry);
        }
    }

    ProposalQueue(ConfigState state) {
        mState = state;
    }

    void add(
            long nowMs,
            ConfigChange change,
            long expectedRevision,
            BiConsumer<Long, Either<Failure, Long>> done,
            Outbox out) {
        if (mQueue.size() >= MAX_QUEUED) {
            Failure failure =
                    Failure.of(
                            ErrorKind.OVERLOADED,
                            mQueue.size() + " changes are queued on this VM; try again later");
            out.add(() -> done.accept(nowMs, Either.left(failure)));
            return;
        }
        long deadlineMs = nowMs + mState.mSettings.proposalTimeoutMs();
        mQueue.add(new Proposal(change, expectedRevision, deadlineMs, done));
        tick(nowMs, out);
    }

    void tick(long nowMs, Outbox out) {
        mAttempt.ifPresent(a -> resolveFromHistory(nowMs, a, out));
        mAttempt.filter(a -> nowMs >= a.mProposal.deadlineMs())
                .ifPresent(a -> failAsUnknown(nowMs, a, out));
        while (mAttempt.isEmpty() && !mQueue.isEmpty()) {
            startAttempt(nowMs, mQueue.poll(), out);
        }
        mAttempt.filter(a -> !a.mAppendInProgress && nowMs >= mNextAppendMs)
                .ifPresent(a -> append(nowMs, a, out));
    }

    private void startAttempt(long nowMs, Proposal proposal, Outbox out) {
        Optional<Failure> refusal = validate(proposal);
        if (refusal.isPresent()) {
            answer(nowMs, proposal, Either.left(refusal.get()), out);
            return;
        }
        ConfigHistory history = mState.mHistory;
        ConfigEntry entry =
                new ConfigEntry(
                        history.revision() + 1,
                        mState.mSelf,
                        mNextNumber++,
                        history.hash(),
                        proposal.change());
        mAttempt = Optional.of(new Attempt(proposal, entry));
    }

    private Optional<Failure> validate(Proposal proposal) {
        ConfigSnapshot now = mState.mHistory.snapshot();
        long revision = now.objectRevision(proposal.change().object());
        if (revision != proposal.expectedRevision()) {
            return Optional.of(conflict(proposal, revision));
        }
        List<Finding> findings = ConfigRules.check(now, proposal.change());
        return findings.isEmpty() ? Optional.empty() : Optional.of(Finding.toFailure(findings));
    }

    private static Failure conflict(Proposal proposal, long revision) {
        String winner =
                revision == 0 ? " no longer exists" : " was last changed at revision " + revision;
        return Failure.of(
                ErrorKind.REVISION_CONFLICT,
                proposal.change().object()
                        + winner
                        + ", not at "
                        + proposal.expectedRevision()
                        + "; read it again and apply the change to that revision");
    }

    private void append(long nowMs, Attempt attempt, Outbox out) {
        attempt.mAppendInProgress = true;
        ConfigEntry entry = attempt.mEntry;
        LogBatch batch =
                new LogBatch(
                        entry.revision(), mState.mSelf, entry.proposal(), List.of(attempt.mText));
        out.add(
                () ->
                        mState.mLog.tryAppend(
                                nowMs,
                                entry.revision(),
                                batch,
                                (atMs, result) ->
                                        mState.mLockGuard.run(
                                                atMs,
                                                o -> onAppendResult(atMs, attempt, result, o))));
    }

    private void onAppendResult(
            long nowMs, Attempt attempt, Either<Failure, AppendResult> result, Outbox out) {
        attempt.mAppendInProgress = false;
        if (result.isRight()) {
            if (result.get() instanceof AppendResult.Lost lost) {
                mState.apply(lost.winner());
            } else {
                mState.apply(attempt.mText);
            }
        } else if (isCurrent(attempt)) {
            long retryMs = mState.mSettings.retryDelayMs();
            mNextAppendMs = nowMs + retryMs / 2 + mState.mRandom.nextInt((int) retryMs);
            if (result.getLeft().kind() == ErrorKind.REVISION_CONFLICT) {
                mState.requireSnapshot();
                failAsUnknown(nowMs, attempt, out);
            }
        }
        tick(nowMs, out);
    }

    private boolean isCurrent(Attempt attempt) {
        return mAttempt.filter(a -> a == attempt).isPresent();
    }

    /** Completes or restarts an attempt once the entry at its position is known from any source. */
    private void resolveFromHistory(long nowMs, Attempt attempt, Outbox out) {
        long revision = attempt.mEntry.revision();
        if (mState.mHistory.revision() < revision) {
            return;
        }
        Optional<ConfigEntry> winner = mState.mHistory.entry(revision);
        if (winner.isEmpty()) {
            failAsUnknown(nowMs, attempt, out);
            return;
        }
        mAttempt = Optional.empty();
        if (winner.get().equals(attempt.mEntry)) {
            answer(nowMs, attempt.mProposal, Either.right(revision), out);
        } else {
            startAttempt(nowMs, attempt.mProposal, out);
        }
    }

    private void failAsUnknown(long nowMs, Attempt attempt, Outbox out) {
        mAttempt = Optional.empty();
        Failure failure =
                Failure.of(
                        ErrorKind.OUTCOME_UNKNOWN,
                        "the platform did not confirm in time whether the change of "
                                + attempt.mProposal.change().object()
                                + " became revision "
                                + attempt.mEntry.revision()
                                + "; read the object before you retry the change");
        answer(nowMs, attempt.mProposal, Either.left(failure), out);
    }

    private static void answer(
            long nowMs, Proposal proposal, Either<Failure, Long> answer, Outbox out) {
        out.add(() -> proposal.done().accept(nowMs, answer));
    }
}
