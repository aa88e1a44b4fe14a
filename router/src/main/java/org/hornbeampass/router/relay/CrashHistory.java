package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;
import org.hornbeampass.coordination.quarantine.SuspectDigest;
import org.hornbeampass.coordination.quarantine.SuspectTable;
import org.hornbeampass.coordination.service.UpstreamInstance;
import org.hornbeampass.state.Failure;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The crashes of upstreams that one request, or a shared part of its prompt, may have caused: those
 * known to the fleet, and those seen during its own sends.
 *
 * <p>Confined to one event loop.
 */
final class CrashHistory {
    private final RelayContext mContext;
    private final RequestIdentity mIdentity;
    private final String mRequestId;
    private List<SuspectDigest> mTrial = List.of();

    /** The status before the restart of the upstream that works on the request. */
    private Optional<QuarantineStatus> mBeforeRestart = Optional.empty();

    CrashHistory(RelayContext context, RequestIdentity identity, String requestId) {
        mContext = context;
        mIdentity = identity;
        mRequestId = requestId;
    }

    SuspectDigest digest() {
        return mIdentity.digest();
    }

    /**
     * Returns how strongly the request is suspected of crashing upstreams. Like any other loss, the
     * restart of the upstream that works on the request does not keep it from being sent once more.
     */
    QuarantineStatus status() {
        QuarantineStatus status = mIdentity.status(mContext.quarantine().suspects());
        return status.mayBeSent() ? mBeforeRestart.orElse(status) : status;
    }

    /**
     * Handles the loss of the request's connection; returns the request's quarantine status before
     * it.
     */
    QuarantineStatus onConnectionLost(long nowMs, UpstreamInstance instance) {
        QuarantineStatus before = status();
        mContext.crashDetector().onConnectionLost(nowMs, instance, mIdentity.all());
        return before;
    }

    /**
     * Handles that the upstream may not work on the request any more: where it has restarted, that
     * is counted as a crash, unless it has gone on with the answer since. It counts once for each
     * send.
     */
    void onSendDoubtful(long nowMs, InFlightSend send) {
        if (send.takeCrash()) {
            mBeforeRestart = mBeforeRestart.isEmpty() ? Optional.of(status()) : Optional.empty();
            mContext.crashDetector().onRestarted(nowMs, send.instance(), mIdentity.all());
        }
    }

    /** Returns the digest of the request and the shared parts of its prompt, for a log line. */
    LogFields fields() {
        return new LogFields()
                .add("digest", digest().toString())
                .add("prompt_parts", mIdentity.loggedPartIds());
    }

    /** Counts the request for the suspected parts of its prompt. */
    void onAdmission() {
        SuspectTable suspects = mContext.quarantine().suspects();
        if (suspects.containsParts()) {
            mIdentity.parts().forEach(suspects::onArrival);
        }
    }

    /** Returns whether the request may be sent to an upstream at present, possibly as a trial. */
    boolean mayBeSent(long nowMs) {
        return status().mayBeSent()
                ? !isUndecided()
                : mContext.quarantine().isTrialDue(nowMs, quarantined());
    }

    private List<SuspectDigest> quarantined() {
        return mIdentity.quarantined(mContext.quarantine().suspects());
    }

    /**
     * Returns whether the request is to be quarantined if the upstreams crashed of which that is
     * not known yet.
     */
    private boolean isUndecided() {
        CrashDetector detector = mContext.crashDetector();
        if (!detector.hasUndecidedLosses() || !mIdentity.hasScope(detector::containsScope)) {
            return false;
        }
        int undecided = detector.undecidedLosses(digest());
        return undecided > 0
                && mContext.quarantine().suspects().wouldQuarantine(digest(), undecided);
    }

    /** Returns whether the request may be sent again while an upstream still works on it. */
    boolean mayBeRepeated() {
        return status().mayBeRetried() && !isUndecided();
    }

    /**
     * Returns whether the request may be sent at this moment. Where a quarantined request is sent
     * as a trial, the trial is counted and logged.
     */
    boolean tryBeginSend(long nowMs) {
        return status().mayBeSent() ? !isUndecided() : tryStartTrial(nowMs);
    }

    private boolean tryStartTrial(long nowMs) {
        List<SuspectDigest> subjects = quarantined();
        if (!mContext.quarantine().tryStartTrial(nowMs, subjects)) {
            return false;
        }
        mTrial = subjects;
        for (SuspectDigest subject : subjects) {
            mContext.log()
                    .logDecision(nowMs, mRequestId, "quarantine-trial", suspectFields(subject));
        }
        return true;
    }

    private LogFields suspectFields(SuspectDigest suspect) {
        return new LogFields()
                .add("digest", suspect.toString())
                .add("prompt_part", mIdentity.partId(suspect).orElse(""));
    }

    /**
     * Logs why the request may not be sent, and returns the failure for it; the request did not
     * run.
     */
    Failure refuse(long nowMs) {
        return status().mayBeSent() ? refuseUndecided(nowMs) : refuseQuarantined(nowMs);
    }

    private Failure refuseUndecided(long nowMs) {
        LogFields fields =
                new LogFields()
                        .add("digest", digest().toString())
                        .add("losses", mContext.crashDetector().undecidedLosses(digest()));
        mContext.log().logDecision(nowMs, mRequestId, "crash-undecided", fields);
        return Refusals.crashUndecided();
    }

    private Failure refuseQuarantined(long nowMs) {
        SuspectTable suspects = mContext.quarantine().suspects();
        SuspectDigest longest = longestQuarantined(nowMs);
        LogFields fields =
                suspectFields(longest).add("left_ms", suspects.quarantineLeftMs(nowMs, longest));
        mContext.log().logDecision(nowMs, mRequestId, "quarantined", fields);
        return Refusals.quarantined(
                quarantineMessage(longest), suspects.retryAfterMs(nowMs, longest));
    }

    /** Returns the suspect that keeps the request from upstreams for the longest time. */
    private SuspectDigest longestQuarantined(long nowMs) {
        SuspectTable suspects = mContext.quarantine().suspects();
        return quarantined().stream()
                .max(Comparator.comparingLong(d -> suspects.retryAfterMs(nowMs, d)))
                .orElseThrow();
    }

    private static String quarantineMessage(SuspectDigest suspect) {
        return suspect.isPart() ? Refusals.PART_QUARANTINED_MESSAGE : Refusals.QUARANTINED_MESSAGE;
    }

    /** Returns why the request may not be sent. */
    String reasonNotSent(long nowMs) {
        return status().mayBeSent()
                ? Refusals.CRASH_UNDECIDED_MESSAGE
                : quarantineMessage(longestQuarantined(nowMs));
    }

    /**
     * Ends a trial: the request has left its upstream, and the result is recorded.
     *
     * @param nowMs the present time in milliseconds
     * @param send the send that ends; empty if the request was not sent
     */
    void onSendEnded(long nowMs, Optional<InFlightSend> send) {
        send.ifPresent(s -> onSendDoubtful(nowMs, s));
        mTrial.forEach(d -> mContext.quarantine().endTrial(nowMs, d));
        mTrial = List.of();
        mBeforeRestart = Optional.empty();
    }

    /**
     * Records a whole answer. A successful one clears the request; another may come from an
     * upstream that failed before it began to run the request.
     *
     * @param nowMs the present time in milliseconds
     * @param instance the upstream
     * @param sentMs when the request was sent there, in milliseconds
     * @param succeeded whether the answer is a success
     */
    void onAnswered(long nowMs, UpstreamInstance instance, long sentMs, boolean succeeded) {
        CrashDetector detector = mContext.crashDetector();
        if (!detector.isIdle()) {
            detector.onAnswered(instance, sentMs);
        }
        if (succeeded) {
            clearRequest(nowMs, detector);
            clearParts(nowMs, detector, sentMs);
        }
    }

    private void clearRequest(long nowMs, CrashDetector detector) {
        if (!detector.isIdle() && mIdentity.hasScope(detector::containsScope)) {
            detector.clear(digest());
        }
        SuspectTable suspects = mContext.quarantine().suspects();
        if (!suspects.isEmpty() && mIdentity.hasScope(suspects::containsScope)) {
            mContext.quarantine().clear(nowMs, digest());
        }
    }

    private void clearParts(long nowMs, CrashDetector detector, long sentMs) {
        if (!detector.isIdle()) {
            mIdentity.parts().forEach(p -> detector.clearLostBefore(p, sentMs));
        }
        if (mContext.quarantine().suspects().containsParts()) {
            mIdentity.parts().forEach(p -> mContext.quarantine().clearPart(nowMs, p, sentMs));
        }
    }

    /**
     * Handles the end of an answer that does not state its own end: the upstream may have answered
     * the request in whole, or crashed.
     *
     * @param nowMs the present time in milliseconds
     * @param instance the upstream
     * @param settleMs how long after that the upstream must still accept connections, in
     *     milliseconds
     * @param onProbed receives whether it does
     */
    void onConnectionClosed(
            long nowMs, UpstreamInstance instance, long settleMs, Consumer<Boolean> onProbed) {
        mContext.crashDetector()
                .onConnectionClosed(nowMs, instance, mIdentity.all(), settleMs, onProbed);
    }
}
