package org.hornbeampass.coordination.service;

import org.hornbeampass.state.service.UpstreamEntry;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One incarnation of an upstream as this VM sees it: its entry, the requests that this VM has in
 * progress there, and what they have shown of it.
 *
 * <p>Invariant: once seen leaving or gone it takes no new request, whatever later entries say.
 * Confined to one thread.
 */
public final class UpstreamInstance {
    /** How fast evidence fades: the weight of one answer after this many milliseconds is 1/e. */
    private static final double DECAY_TIME_CONSTANT_MS = 4_000;

    /** The first pause after failures without an answer; doubled for each further one. */
    private static final long FIRST_PAUSE_MS = 500;

    /** The longest pause: a sound upstream is back in use within this time. */
    private static final long MAX_PAUSE_MS = 4_000;

    /** Failures in a row after which an upstream is paused; one alone may be a lost packet. */
    private static final int FAILURES_BEFORE_PAUSE = 2;

    /**
     * The longest pause that an upstream may ask for: a mistaken one must not take it out for good.
     */
    private static final long MAX_REQUESTED_PAUSE_MS = 600_000;

    private static final double LATENCY_SMOOTHING = 0.2;

    /** Prompt tokens that an engine reads in a millisecond, about, on the installations at hand. */
    static final double PREFILL_TOKENS_PER_MS = 50;

    private final Set<IncarnationListener> mListeners = new LinkedHashSet<>();
    private UpstreamEntry mEntry;
    private UpstreamIncarnation mIncarnation;
    private boolean mLeaving;
    private long mGoneAtMs = Long.MAX_VALUE;
    private long mUnreadTokens;
    private int mFailuresInRow;
    private long mPausedUntilMs = Long.MIN_VALUE;
    private long mRequestedPauseUntilMs;
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

    /** Returns its entry as last seen. */
    public UpstreamEntry entry() {
        return mEntry;
    }

    /** Returns its identity. */
    public String id() {
        return mEntry.id();
    }

    void update(UpstreamEntry entry) {
        mEntry = entry;
        mIncarnation = UpstreamIncarnation.of(entry);
        mLeaving |= entry.leaving();
        mGoneAtMs = Long.MAX_VALUE;
    }

    /** Takes it out of use at a time in milliseconds, unless its entry is seen again before. */
    void markGoneAt(long atMs) {
        mGoneAtMs = Math.min(mGoneAtMs, atMs);
    }

    /** Returns whether its entry has been missing for so long that it counts as gone. */
    boolean isGone(long nowMs) {
        return nowMs >= mGoneAtMs;
    }

    /** Returns whether its entry tells when it started. */
    boolean hasIncarnation() {
        return mEntry.bornMs().isPresent();
    }

    /** Returns which incarnation of the upstream it is. */
    public UpstreamIncarnation incarnation() {
        return mIncarnation;
    }

    /** Takes it out of use for new requests, for good. */
    void markLeaving() {
        mLeaving = true;
    }

    /** Returns whether it was ever seen leaving. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Returns whether it may take new requests at all. */
    public boolean isUsable(long nowMs) {
        return !mLeaving && !isGone(nowMs) && requestedPauseLeftMs(nowMs) == 0;
    }

    /**
     * Sends no new requests for a time, since the upstream asked for that. Unlike a pause after
     * failures, this one ends by time alone.
     *
     * @param nowMs the present time in milliseconds
     * @param pauseMs for how long, in milliseconds
     */
    public void onPauseRequested(long nowMs, long pauseMs) {
        long untilMs = nowMs + Math.min(pauseMs, MAX_REQUESTED_PAUSE_MS);
        mRequestedPauseUntilMs = Math.max(mRequestedPauseUntilMs, untilMs);
    }

    /** Returns for how long it still wants nothing from this VM, in milliseconds. */
    long requestedPauseLeftMs(long nowMs) {
        return Math.max(0, mRequestedPauseUntilMs - nowMs);
    }

    /** Returns whether it is left alone for a while after failures. */
    public boolean isPaused(long nowMs) {
        return nowMs < mPausedUntilMs;
    }

    /** Returns how many of this VM's requests are in progress there. */
    public int inFlight() {
        return mListeners.size();
    }

    /** Returns the prompt tokens of this VM's requests there that have not begun to answer. */
    public long unreadTokens() {
        return mUnreadTokens;
    }

    /**
     * Counts a request that is sent there.
     *
     * @param tokens the prompt tokens that must be read for it
     * @param listener hears of the incarnation's end; the same one is given to {@link #onEnded}
     */
    public void onSent(long tokens, IncarnationListener listener) {
        mListeners.add(listener);
        mUnreadTokens += tokens;
    }

    /** Counts the beginning of an answer, with the tokens given to {@link #onSent}. */
    public void onPromptRead(long tokens) {
        mUnreadTokens = Math.max(0, mUnreadTokens - tokens);
    }

    /** Counts the end of a request, whatever it was. */
    public void onEnded(IncarnationListener listener) {
        mListeners.remove(listener);
    }

    /** Ends this incarnation: it takes no request any more, and those in progress are lost. */
    void end(long nowMs) {
        mGoneAtMs = nowMs;
        List.copyOf(mListeners).forEach(l -> l.onEnded(nowMs));
    }

    /**
     * Takes a good answer as evidence.
     *
     * @param nowMs the present time in milliseconds
     * @param latencyMs how long it took to its first byte, in milliseconds
     */
    public void onSuccess(long nowMs, double latencyMs) {
        decay(nowMs);
        mSuccesses++;
        mFailuresInRow = 0;
        mPausedUntilMs = Long.MIN_VALUE;
        mLatencyMs += mLatencyMs == 0 ? latencyMs : LATENCY_SMOOTHING * (latencyMs - mLatencyMs);
    }

    /**
     * Takes the first part of an engine's answer as evidence of how long requests wait there beyond
     * the reading of their own prompt: for other VMs' requests, or since it is slow.
     *
     * @param nowMs the present time in milliseconds
     * @param latencyMs how long it took, in milliseconds
     * @param promptTokens the tokens of the prompt
     */
    public void onFirstPart(long nowMs, double latencyMs, long promptTokens) {
        onSuccess(nowMs, latencyMs);
        double delayMs = Math.max(0, latencyMs - promptTokens / PREFILL_TOKENS_PER_MS);
        mDelayMs += LATENCY_SMOOTHING * (delayMs - mDelayMs);
    }

    /** Returns how long requests waited there of late, in milliseconds; fades like all evidence. */
    public double delayMs(long nowMs) {
        decay(nowMs);
        return mDelayMs;
    }

    /** Takes an answer that reports a failure as evidence. */
    public void onErrorAnswer(long nowMs) {
        decay(nowMs);
        mFailures++;
        mFailuresInRow = 0;
    }

    /** Takes a connection or an answer that did not come about as evidence. */
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

    /** Takes the word of an upstream that it has no room; it gets new requests again soon. */
    public void onOverloaded(long nowMs, long pauseMs) {
        mPausedUntilMs = Math.max(mPausedUntilMs, nowMs + pauseMs);
    }

    /** Returns the share of recent answers that failed, drawn towards 0 while there are few. */
    public double failureShare(long nowMs) {
        decay(nowMs);
        return mFailures / (mSuccesses + mFailures + 2);
    }

    /** Returns the usual time to the first byte in milliseconds; 0 where none was seen. */
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
