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
 * Writes this VM's proposals to the platform's log, one at a time.
 *
 * <p>Invariants: a change is checked against the configuration right before the place that it is
 * written to, since a place is only won where that was the newest; a place whose result is open is
 * tried again with the same entry until it is decided, so a lost reply never leads to a second
 * entry; a proposal is answered once, with success only when its entry stands in the log, and with
 * a failure other than {@code OUTCOME_UNKNOWN} only when it never will. Not thread-safe: guarded by
 * the lock of {@link ConfigStore}.
 */
final class Proposals {
    private static final int MAX_QUEUED = 256;

    private final ConfigCore mCore;
    private final Deque<Proposal> mQueue = new ArrayDeque<>();
    private Optional<Attempt> mAttempt = Optional.empty();
    private long mNextNumber = 1;
    private long mNotBeforeMs;

    /** One proposal that is not answered yet. */
    private record Proposal(
            ConfigChange change,
            long expectedRevision,
            long deadlineMs,
            BiConsumer<Long, Either<Failure, Long>> done) {}

    /** The present try of the first proposal: an entry for one place. */
    private static final class Attempt {
        private final Proposal mProposal;
        private final ConfigEntry mEntry;
        private final String mText;
        private boolean mBusy;

        Attempt(Proposal proposal, ConfigEntry entry) {
            mProposal = proposal;
            mEntry = entry;
            mText = Json.encode(entry);
        }
    }

    Proposals(ConfigCore core) {
        mCore = core;
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
                            mQueue.size() + " changes wait at this VM; try again later");
            out.add(() -> done.accept(nowMs, Either.left(failure)));
            return;
        }
        long deadlineMs = nowMs + mCore.mSettings.proposalTimeoutMs();
        mQueue.add(new Proposal(change, expectedRevision, deadlineMs, done));
        tick(nowMs, out);
    }

    void tick(long nowMs, Outbox out) {
        mAttempt.ifPresent(a -> settleByHistory(nowMs, a, out));
        mAttempt.filter(a -> nowMs >= a.mProposal.deadlineMs())
                .ifPresent(a -> giveUp(nowMs, a, out));
        while (mAttempt.isEmpty() && !mQueue.isEmpty()) {
            begin(nowMs, mQueue.poll(), out);
        }
        mAttempt.filter(a -> !a.mBusy && nowMs >= mNotBeforeMs)
                .ifPresent(a -> append(nowMs, a, out));
    }

    private void begin(long nowMs, Proposal proposal, Outbox out) {
        Optional<Failure> refusal = refusal(proposal);
        if (refusal.isPresent()) {
            answer(nowMs, proposal, Either.left(refusal.get()), out);
            return;
        }
        ConfigHistory history = mCore.mHistory;
        ConfigEntry entry =
                new ConfigEntry(
                        history.revision() + 1,
                        mCore.mSelf,
                        mNextNumber++,
                        history.hash(),
                        proposal.change());
        mAttempt = Optional.of(new Attempt(proposal, entry));
    }

    private Optional<Failure> refusal(Proposal proposal) {
        ConfigSnapshot now = mCore.mHistory.snapshot();
        long revision = now.objectRevision(proposal.change().object());
        if (revision != proposal.expectedRevision()) {
            return Optional.of(conflict(proposal, revision));
        }
        List<Finding> findings = ConfigRules.check(now, proposal.change());
        return findings.isEmpty() ? Optional.empty() : Optional.of(Finding.toFailure(findings));
    }

    private static Failure conflict(Proposal proposal, long revision) {
        String winner =
                revision == 0
                        ? " does not exist any more"
                        : " was last changed at revision " + revision;
        return Failure.of(
                ErrorKind.REVISION_CONFLICT,
                proposal.change().object()
                        + winner
                        + ", not at "
                        + proposal.expectedRevision()
                        + "; read it again and repeat the change on top of that");
    }

    private void append(long nowMs, Attempt attempt, Outbox out) {
        attempt.mBusy = true;
        ConfigEntry entry = attempt.mEntry;
        LogBatch batch =
                new LogBatch(
                        entry.revision(), mCore.mSelf, entry.proposal(), List.of(attempt.mText));
        out.add(
                () ->
                        mCore.mLog.tryAppend(
                                nowMs,
                                entry.revision(),
                                batch,
                                (atMs, result) ->
                                        mCore.mGuard.run(
                                                atMs, o -> appended(atMs, attempt, result, o))));
    }

    private void appended(
            long nowMs, Attempt attempt, Either<Failure, AppendResult> result, Outbox out) {
        attempt.mBusy = false;
        if (result.isRight()) {
            if (result.get() instanceof AppendResult.Lost lost) {
                mCore.apply(lost.winner());
            } else {
                mCore.apply(attempt.mText);
            }
        } else if (isCurrent(attempt)) {
            long retryMs = mCore.mSettings.retryDelayMs();
            mNotBeforeMs = nowMs + retryMs / 2 + mCore.mRandom.nextInt((int) retryMs);
            if (result.getLeft().kind() == ErrorKind.REVISION_CONFLICT) {
                mCore.wantSnapshot();
                giveUp(nowMs, attempt, out);
            }
        }
        tick(nowMs, out);
    }

    private boolean isCurrent(Attempt attempt) {
        return mAttempt.filter(a -> a == attempt).isPresent();
    }

    /** Answers or repeats an attempt whose place is decided, however this VM learned of it. */
    private void settleByHistory(long nowMs, Attempt attempt, Outbox out) {
        long revision = attempt.mEntry.revision();
        if (mCore.mHistory.revision() < revision) {
            return;
        }
        Optional<ConfigEntry> winner = mCore.mHistory.entry(revision);
        if (winner.isEmpty()) {
            giveUp(nowMs, attempt, out);
            return;
        }
        mAttempt = Optional.empty();
        if (winner.get().equals(attempt.mEntry)) {
            answer(nowMs, attempt.mProposal, Either.right(revision), out);
        } else {
            begin(nowMs, attempt.mProposal, out);
        }
    }

    private void giveUp(long nowMs, Attempt attempt, Outbox out) {
        mAttempt = Optional.empty();
        Failure failure =
                Failure.of(
                        ErrorKind.OUTCOME_UNKNOWN,
                        "the platform did not tell in time whether the change of "
                                + attempt.mProposal.change().object()
                                + " became revision "
                                + attempt.mEntry.revision()
                                + "; read the object before you repeat the change");
        answer(nowMs, attempt.mProposal, Either.left(failure), out);
    }

    private static void answer(
            long nowMs, Proposal proposal, Either<Failure, Long> answer, Outbox out) {
        out.add(() -> proposal.done().accept(nowMs, answer));
    }
}
