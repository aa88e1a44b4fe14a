package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.quarantine.SuspectDigest;
import org.hornbeampass.coordination.service.IncarnationListener;
import org.hornbeampass.coordination.service.UpstreamIncarnation;
import org.hornbeampass.coordination.service.UpstreamInstance;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The requests whose connections to one incarnation of an upstream were lost, while it is not known
 * whether the upstream crashed.
 *
 * <p>Invariants: each request is kept until its loss is too old to be explained by what is observed
 * later; a waiting request is taken once. Confined to one event loop.
 */
final class ConnectionLoss {
    /** How many accepted probes show that the upstream is not exiting. */
    private static final int CONCLUSIVE_PROBES = 2;

    private final UpstreamInstance mInstance;
    private final UpstreamIncarnation mIncarnation;
    private final IncarnationListener mEndListener;
    private final Map<SuspectDigest, Long> mLostMsBySuspect = new LinkedHashMap<>();

    /** The requests whose answers ended with the connection while the upstream still listened. */
    private final Map<SuspectDigest, Long> mClosedMsBySuspect = new LinkedHashMap<>();

    private final List<Waiting> mWaiting = new ArrayList<>();

    /** Added after the probe had been started, so that its success tells them nothing. */
    private final List<Waiting> mWaitingForNext = new ArrayList<>();

    private long mLastLostMs;
    private boolean mProbing;
    private boolean mRefused;
    private boolean mRuledOut;
    private boolean mAnswered;
    private boolean mProbedAfterCut;
    private int mAcceptedProbes;
    private int mDroppedProbes;

    /**
     * A request whose connection the upstream closed in order, which is a loss only if the upstream
     * has crashed.
     *
     * @param suspects the digests of the request and of the shared parts of its prompt
     * @param closedMs when the connection was closed, in milliseconds
     * @param confirmableMs the earliest start of a probe whose success shows that the upstream has
     *     not crashed, in milliseconds
     * @param onProbed receives whether the upstream accepts connections
     */
    record Waiting(
            Set<SuspectDigest> suspects,
            long closedMs,
            long confirmableMs,
            Consumer<Boolean> onProbed) {}

    /** Creates a record without requests; {@code onEnd} is called when the incarnation ends. */
    ConnectionLoss(UpstreamInstance instance, IncarnationListener onEnd) {
        mInstance = instance;
        mIncarnation = instance.incarnation();
        mEndListener = onEnd;
        instance.addEndListener(onEnd);
    }

    /** Returns the incarnation as it was known at the first loss. */
    UpstreamIncarnation incarnation() {
        return mIncarnation;
    }

    String address() {
        return mInstance.entry().address();
    }

    boolean isLeaving() {
        return mInstance.isLeaving();
    }

    /**
     * Adds the digests of a lost request and of the shared parts of its prompt; earlier probes do
     * not count for them.
     */
    void add(long nowMs, Set<SuspectDigest> suspects) {
        suspects.forEach(d -> mLostMsBySuspect.put(d, nowMs));
        mLastLostMs = nowMs;
        mAnswered = false;
        mRuledOut = false;
        mProbedAfterCut = false;
        mAcceptedProbes = 0;
        mDroppedProbes = 0;
    }

    /** Adds a request that waits for a probe which is started from now on. */
    void addWaiting(Waiting waiting) {
        if (mProbing) {
            mWaitingForNext.add(waiting);
        } else {
            mWaiting.add(waiting);
        }
    }

    boolean contains(SuspectDigest request) {
        return mLostMsBySuspect.containsKey(request);
    }

    /** Returns whether it contains any request whose digest has a scope. */
    boolean containsScope(long scope) {
        return containsScope(mLostMsBySuspect.keySet(), scope)
                || containsScope(mClosedMsBySuspect.keySet(), scope);
    }

    private static boolean containsScope(Set<SuspectDigest> requests, long scope) {
        for (SuspectDigest request : requests) {
            if (request.scope() == scope) {
                return true;
            }
        }
        return false;
    }

    /** Returns what the crash of the upstream may be attributed to, if it crashed. */
    Set<SuspectDigest> suspects() {
        Set<SuspectDigest> all = new HashSet<>(mLostMsBySuspect.keySet());
        all.addAll(mClosedMsBySuspect.keySet());
        return all;
    }

    void remove(SuspectDigest request) {
        mLostMsBySuspect.remove(request);
        mClosedMsBySuspect.remove(request);
    }

    /** Removes a suspect unless its connection was lost at a time in milliseconds or later. */
    void removeLostBefore(SuspectDigest suspect, long ms) {
        mLostMsBySuspect.computeIfPresent(suspect, (d, lostMs) -> lostMs < ms ? null : lostMs);
        mClosedMsBySuspect.computeIfPresent(
                suspect, (d, closedMs) -> closedMs < ms ? null : closedMs);
    }

    /** Removes the requests whose connections were lost at a time in milliseconds or before. */
    void removeLostUntil(long ms) {
        mLostMsBySuspect.values().removeIf(lostMs -> lostMs <= ms);
        mClosedMsBySuspect.values().removeIf(closedMs -> closedMs <= ms);
    }

    /** Returns whether a probe is open, or it is being decided what a refused one means. */
    boolean isBeingChecked() {
        return mProbing || mRefused;
    }

    /** Returns whether the upstream refused a probe. */
    boolean isRefused() {
        return mRefused;
    }

    /** Returns whether the upstream may have crashed, as far as the probes can tell. */
    boolean isUndecided() {
        return mRefused || (mAcceptedProbes < CONCLUSIVE_PROBES && !mAnswered && !mRuledOut);
    }

    /** Returns whether only the upstream's entry can still show that it crashed. */
    boolean isRuledOut() {
        return mRuledOut;
    }

    /** Returns whether the upstream has answered a request that was sent after the last loss. */
    boolean isAnswered() {
        return mAnswered;
    }

    /** Returns whether no request is left whose connection was lost or closed. */
    boolean isEmpty() {
        return mLostMsBySuspect.isEmpty() && mClosedMsBySuspect.isEmpty();
    }

    void onProbeStarted() {
        mProbing = true;
    }

    /** Records an accepted probe. */
    void onAccepted() {
        mProbing = false;
        mProbedAfterCut = false;
        mAcceptedProbes++;
    }

    /**
     * Records a probe that was accepted and then closed; returns the number of those since the last
     * loss.
     */
    int onDropped() {
        mProbing = false;
        return ++mDroppedProbes;
    }

    void onRefused() {
        mProbing = false;
        mRefused = true;
    }

    /** Records that a refused probe may be due to a cut of this VM. */
    void onRuledOut() {
        mRefused = false;
        mRuledOut = true;
    }

    /** Records that this VM reaches upstreams again after it was cut off from all of them. */
    void onCutEnded() {
        mRefused = false;
        mProbedAfterCut = true;
    }

    /** Returns whether the probe was started when this VM was no longer cut off. */
    boolean isProbedAfterCut() {
        return mProbedAfterCut;
    }

    /** Records the answer to a request that was sent at a time in milliseconds. */
    void onAnswered(long sentMs) {
        mAnswered |= sentMs > mLastLostMs;
    }

    /** Returns whether the upstream has accepted a probe since the last loss. */
    boolean hasAcceptedProbe() {
        return mAcceptedProbes + mDroppedProbes > 0;
    }

    /** Returns the number of accepted probes since the last loss or close. */
    int acceptedProbes() {
        return mAcceptedProbes;
    }

    /**
     * Returns when the next probe for which requests wait is due, in milliseconds; empty if none
     * waits.
     */
    OptionalLong nextAwaitedProbeMs() {
        return mWaiting.stream().mapToLong(Waiting::confirmableMs).min();
    }

    /**
     * Takes the requests whom an accepted probe confirms. They are not lost, unless it is observed
     * later that the upstream crashed.
     *
     * @param startedMs when the probe was started, in milliseconds
     */
    List<Waiting> takeAccepted(long startedMs) {
        List<Waiting> accepted =
                mWaiting.stream().filter(w -> w.confirmableMs() <= startedMs).toList();
        mWaiting.removeAll(accepted);
        mWaiting.addAll(mWaitingForNext);
        mWaitingForNext.clear();
        accepted.forEach(this::onClosed);
        return accepted;
    }

    private void onClosed(Waiting closed) {
        mRuledOut = false;
        closed.suspects().forEach(d -> mClosedMsBySuspect.put(d, closed.closedMs()));
        mLastLostMs = Math.max(mLastLostMs, closed.closedMs());
        mAnswered = false;
        mAcceptedProbes = 1;
    }

    /** Takes all waiting requests, which are lost. */
    List<Waiting> takeRefused() {
        List<Waiting> refused = new ArrayList<>(mWaiting);
        refused.addAll(mWaitingForNext);
        mWaiting.clear();
        mWaitingForNext.clear();
        refused.forEach(w -> w.suspects().forEach(d -> mLostMsBySuspect.put(d, w.closedMs())));
        return refused;
    }

    /** Stops listening to the end of the incarnation. */
    void close() {
        mInstance.removeEndListener(mEndListener);
    }
}
