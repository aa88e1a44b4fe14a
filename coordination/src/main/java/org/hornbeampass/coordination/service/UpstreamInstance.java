package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.UpstreamEntry;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * One incarnation of an upstream as this VM sees it: its entry, this VM's requests in progress
 * there, and statistics about their outcomes.
 *
 * <p>Invariant: once it is leaving, it gets no new requests, whatever later entries state. Confined
 * to one thread.
 */
public final class UpstreamInstance {
    /**
     * The time constant of the exponential decay of statistics, in milliseconds: the weight of an
     * outcome of that age is 1/e.
     */
    private static final double DECAY_TIME_CONSTANT_MS = 4_000;

    /**
     * The first pause after failures without an answer, in milliseconds; it doubles with each
     * further failure.
     */
    private static final long FIRST_PAUSE_MS = 500;

    /** The longest pause, in milliseconds: a healthy upstream is back in use within this time. */
    private static final long MAX_PAUSE_MS = 4_000;

    /**
     * Consecutive failures after which an upstream is paused; a single one may be a lost packet.
     */
    private static final int FAILURES_BEFORE_PAUSE = 2;

    /**
     * The longest pause that an upstream may request, in milliseconds, so that a wrong request does
     * not exclude it forever.
     */
    private static final long MAX_REQUESTED_PAUSE_MS = 600_000;

    private static final double LATENCY_SMOOTHING = 0.2;

    /** The approximate number of prompt tokens that an engine reads in a millisecond. */
    static final double PREFILL_TOKENS_PER_MS = 50;

    private final Set<IncarnationListener> mListeners = new LinkedHashSet<>();
    private final Set<IncarnationListener> mEndListeners = new LinkedHashSet<>();
    private Optional<UpstreamEntry> mSuccessor = Optional.empty();
    private UpstreamEntry mEntry;
    private UpstreamIncarnation mIncarnation;
    private boolean mLeaving;
    private long mGoneAtMs = Long.MAX_VALUE;
    private Optional<UpstreamModel> mModel = Optional.empty();
    private long mUnreadTokens;
    private long mHeldTokens;
    private int mFailuresInRow;
    private long mPausedUntilMs = Long.MIN_VALUE;
    private long mRequestedPauseUntilMs;
    private Optional<Brittleness> mBrittleness = Optional.empty();
    private double mSuccesses;
    private double mFailures;
    private long mDecayedAtMs;
    private double mLatencyMs;
    private double mDelayMs;

    UpstreamInstance(UpstreamEntry entry) {
        mEntry = entry;
        mIncarnation = UpstreamIncarnation.of(entry);
        mLeaving = entry.leaving();
    }

    /** Returns the last received entry. */
    public UpstreamEntry entry() {
        return mEntry;
    }

    /** Returns the upstream's identity. */
    public String id() {
        return mEntry.id();
    }

    void update(UpstreamEntry entry) {
        mEntry = entry;
        mIncarnation = UpstreamIncarnation.of(entry);
        mLeaving |= entry.leaving();
        mGoneAtMs = Long.MAX_VALUE;
    }

    /** Marks it as gone from a time in milliseconds on, unless its entry is received again. */
    void markGoneAt(long atMs) {
        mGoneAtMs = Math.min(mGoneAtMs, atMs);
    }

    /**
     * Returns whether it is gone: its entry has been missing for long enough, or its incarnation
     * has ended.
     */
    boolean isGone(long nowMs) {
        return nowMs >= mGoneAtMs;
    }

    /** Returns whether its entry states when it started. */
    boolean hasIncarnation() {
        return mEntry.bornMs().isPresent();
    }

    /** Returns which incarnation of the upstream it is. */
    public UpstreamIncarnation incarnation() {
        return mIncarnation;
    }

    /** Permanently stops new requests to it. */
    void markLeaving() {
        mLeaving = true;
    }

    /** Returns whether it was ever known to be leaving. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Returns whether it may get new requests; a pause after failures is not considered. */
    public boolean isUsable(long nowMs) {
        return !mLeaving && !isGone(nowMs) && requestedPauseLeftMs(nowMs) == 0;
    }

    /**
     * Stops new requests for a time that the upstream requested. Unlike a pause after failures, a
     * successful answer does not end it early.
     *
     * @param nowMs the present time in milliseconds
     * @param pauseMs the length of the pause in milliseconds
     */
    public void onPauseRequested(long nowMs, long pauseMs) {
        long untilMs = nowMs + Math.min(pauseMs, MAX_REQUESTED_PAUSE_MS);
        mRequestedPauseUntilMs = Math.max(mRequestedPauseUntilMs, untilMs);
    }

    /**
     * Returns the rest of the pause that the upstream requested, in milliseconds; 0 where there is
     * none.
     */
    long requestedPauseLeftMs(long nowMs) {
        return Math.max(0, mRequestedPauseUntilMs - nowMs);
    }

    /**
     * The pauses of an incarnation, which outlast its entry.
     *
     * @param requestedUntilMs when the pause ends that it requested, in milliseconds
     * @param untilMs when its pause after failures or for lack of capacity ends, in milliseconds
     * @param failuresInRow its last failures without an answer between them
     * @param brittleness what it stated about rejections
     */
    record Pauses(
            long requestedUntilMs,
            long untilMs,
            int failuresInRow,
            Optional<Brittleness> brittleness) {}

    Pauses pauses() {
        return new Pauses(mRequestedPauseUntilMs, mPausedUntilMs, mFailuresInRow, mBrittleness);
    }

    /** Goes on with the pauses that this incarnation had before its entry was removed. */
    void resume(Pauses pauses) {
        mRequestedPauseUntilMs = pauses.requestedUntilMs();
        mPausedUntilMs = pauses.untilMs();
        mFailuresInRow = pauses.failuresInRow();
        mBrittleness = pauses.brittleness();
    }

    /**
     * Sets how many rejections in a second it survives, as its last answer states; empty where it
     * is not brittle. Returns whether that changed.
     */
    public boolean onBrittleness(OptionalDouble maxRejectionsPerS) {
        Optional<Brittleness> before = mBrittleness;
        mBrittleness =
                maxRejectionsPerS.isPresent()
                        ? Optional.of(new Brittleness(maxRejectionsPerS.getAsDouble()))
                        : Optional.empty();
        return !mBrittleness.equals(before);
    }

    /**
     * Stops new requests to a brittle upstream that has rejected one, for longer after each
     * rejection, so that the VMs together do not make it crash.
     *
     * @param nowMs the present time in milliseconds
     * @param vms the number of VMs that send requests to it
     */
    public void onRejected(long nowMs, int vms) {
        mBrittleness.ifPresent(
                b -> onPauseRequested(nowMs, requestedPauseLeftMs(nowMs) + b.holdMs(vms)));
    }

    /** Returns whether it may be sent one more request without making it reject too many. */
    boolean hasPlace(FleetLoad load) {
        return mBrittleness
                .map(
                        b ->
                                b.maySend(
                                        mEntry.slots(),
                                        inFlight(),
                                        load.at(id()).requests(),
                                        load.knownVms()))
                .orElse(true);
    }

    /** Returns whether it is paused after failures or for lack of capacity. */
    public boolean isPaused(long nowMs) {
        return nowMs < mPausedUntilMs;
    }

    /** Sets the model that learns from its answers. */
    void setModel(UpstreamModel model) {
        mModel = Optional.of(model);
    }

    /** Returns the model that learns from its answers; empty where none does. */
    Optional<UpstreamModel> model() {
        return mModel;
    }

    /** Returns the tokens of its cache that this VM's requests there need. */
    long heldTokens() {
        return mHeldTokens;
    }

    /** Returns the number of this VM's requests in progress there. */
    public int inFlight() {
        return mListeners.size();
    }

    /** Returns the prompt tokens of this VM's requests there whose answers have not begun. */
    public long unreadTokens() {
        return mUnreadTokens;
    }

    /**
     * Counts a request that is sent there.
     *
     * @param tokens the prompt tokens that must be read for it
     * @param listener receives the incarnation's end; the same object must be passed to {@link
     *     #onEnded}
     */
    public void onSent(long tokens, IncarnationListener listener) {
        mListeners.add(listener);
        mUnreadTokens += tokens;
    }

    /** Counts tokens of its cache that a request there needs, or no longer needs if negative. */
    public void addHeldTokens(long tokens) {
        mHeldTokens += tokens;
    }

    /** Records that an answer has begun, with the tokens passed to {@link #onSent}. */
    public void onPromptRead(long tokens) {
        mUnreadTokens = Math.max(0, mUnreadTokens - tokens);
    }

    /** Records that a request has ended, with any outcome. */
    public void onEnded(IncarnationListener listener) {
        mListeners.remove(listener);
    }

    /** Adds a listener for the incarnation's end that stands for no request in progress. */
    public void addEndListener(IncarnationListener listener) {
        mEndListeners.add(listener);
    }

    /** Removes a listener for the incarnation's end. */
    public void removeEndListener(IncarnationListener listener) {
        mEndListeners.remove(listener);
    }

    /** Ends this incarnation, after which another one has started. */
    void end(long nowMs, UpstreamEntry successor) {
        mSuccessor = Optional.of(successor);
        end(nowMs);
    }

    /** Returns the entry of the incarnation that has started after this one; empty if none has. */
    public Optional<UpstreamEntry> successor() {
        return mSuccessor;
    }

    /** Ends this incarnation: it gets no more requests, and those in progress are lost. */
    void end(long nowMs) {
        mGoneAtMs = nowMs;
        List.copyOf(mListeners).forEach(l -> l.onEnded(nowMs));
        List.copyOf(mEndListeners).forEach(l -> l.onEnded(nowMs));
    }

    /**
     * Records a successful answer, which also ends a pause after failures.
     *
     * @param nowMs the present time in milliseconds
     * @param latencyMs the time to its first byte, in milliseconds
     */
    public void onSuccess(long nowMs, double latencyMs) {
        decay(nowMs);
        mSuccesses++;
        mFailuresInRow = 0;
        mPausedUntilMs = Long.MIN_VALUE;
        mLatencyMs += mLatencyMs == 0 ? latencyMs : LATENCY_SMOOTHING * (latencyMs - mLatencyMs);
    }

    /**
     * Records the first part of an engine's answer. The time beyond the reading of the request's
     * own prompt shows how long requests wait there, behind those of other VMs or because the
     * engine is slow.
     *
     * @param nowMs the present time in milliseconds
     * @param latencyMs the time to the first part, in milliseconds
     * @param promptTokens the prompt tokens that the engine had to read
     */
    public void onFirstPart(long nowMs, double latencyMs, long promptTokens) {
        onSuccess(nowMs, latencyMs);
        double delayMs = Math.max(0, latencyMs - promptTokens / PREFILL_TOKENS_PER_MS);
        mDelayMs += LATENCY_SMOOTHING * (delayMs - mDelayMs);
    }

    /**
     * Lets the model learn from the first event of an answer.
     *
     * @param nowMs the present time in milliseconds
     * @param firstMs the time from sending the request to the event, in milliseconds
     * @param choice the choice of this upstream for the request
     */
    public void learnFirstEvent(long nowMs, double firstMs, UpstreamChoice choice) {
        mModel.ifPresent(
                m -> m.onFirstEvent(nowMs, firstMs, choice.tokensToRead(), choice.facts()));
    }

    /**
     * Lets the model learn from later events of an answer.
     *
     * @param nowMs the present time in milliseconds
     * @param gapMs the time since the preceding events, in milliseconds
     * @param events how many arrived together; at least 1
     * @param running the requests that were in progress there
     */
    public void learnEvents(long nowMs, double gapMs, long events, int running) {
        double used = running / (double) Math.max(1, mEntry.slots());
        mModel.ifPresent(m -> m.onEvents(nowMs, gapMs, events, used));
    }

    /** Lets the model learn from a complete answer, {@code durationMs} after it was asked for. */
    public void learnCompletion(double durationMs) {
        mModel.ifPresent(m -> m.onCompleted(durationMs));
    }

    /**
     * Returns the smoothed recent wait of requests there, in milliseconds; decays like all
     * statistics.
     */
    public double delayMs(long nowMs) {
        decay(nowMs);
        return mDelayMs;
    }

    /** Records an answer that reports a failure. */
    public void onErrorAnswer(long nowMs) {
        decay(nowMs);
        mFailures++;
        mFailuresInRow = 0;
    }

    /** Records a failed connection or a missing answer. */
    public void onNoAnswer(long nowMs) {
        decay(nowMs);
        mFailures++;
        mFailuresInRow++;
        if (mFailuresInRow < FAILURES_BEFORE_PAUSE) {
            return;
        }
        int doublings = Math.min(8, mFailuresInRow - FAILURES_BEFORE_PAUSE);
        mPausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << doublings);
    }

    /**
     * Pauses an upstream that answered that it has no capacity, for {@code pauseMs} milliseconds.
     */
    public void onOverloaded(long nowMs, long pauseMs) {
        mPausedUntilMs = Math.max(mPausedUntilMs, nowMs + pauseMs);
    }

    /** Returns the share of recent requests that failed, biased towards 0 while there are few. */
    public double failureShare(long nowMs) {
        decay(nowMs);
        return mFailures / (mSuccesses + mFailures + 2);
    }

    /** Returns the smoothed time to the first byte in milliseconds; 0 before the first answer. */
    public double latencyMs() {
        return mLatencyMs;
    }

    private void decay(long nowMs) {
        double kept = Math.exp(-(nowMs - mDecayedAtMs) / DECAY_TIME_CONSTANT_MS);
        mSuccesses *= kept;
        mFailures *= kept;
        mDelayMs *= kept;
        mDecayedAtMs = nowMs;
    }
}
