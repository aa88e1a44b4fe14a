package org.hornbeampass.coordination.service;

/**
 * What one incarnation of an upstream can do, learnt from its answers to this VM and from what
 * other VMs report.
 *
 * <p>Written for fleets in which the upstreams of a service differ in speed and each VM sees only a
 * few answers a second from each. Invariants: an observed rate never exceeds the real one, since it
 * counts only tokens that are certainly read while waiting only adds time; a high quantile of the
 * observations therefore resists waits that this VM can't see. Until there are {@link #MIN_SAMPLES}
 * observations, the rate that other VMs have learnt is used, or else the service's mean. Confined
 * to one thread.
 */
final class UpstreamModel {
    /** The number of observations from which on the model is used. */
    static final int MIN_SAMPLES = 8;

    /** The rate before anything is known, in prompt tokens per millisecond. */
    static final double UNLEARNT_TOKENS_PER_MS = UpstreamInstance.PREFILL_TOKENS_PER_MS;

    /** How long a pause counts as recent, in milliseconds. */
    static final long RECENT_PAUSE_MS = 5_000;

    /**
     * The factor by which the rate must differ from the one for which prompts are held there before
     * prompts move: each move lets parts be read again.
     */
    private static final double HOLDER_CHANGE_FACTOR = 1.4;

    /** Times are whole milliseconds; without this the rate of a fast upstream is too high. */
    private static final double CLOCK_STEP_MS = 1;

    private static final double RATE_QUANTILE = 0.75;
    private static final double SMOOTHING = 0.2;

    /**
     * Only a delay that most requests have had counts: a mean would also count the queues that the
     * VMs made there together, and keep them all away for seconds after such a queue has ended.
     */
    private static final double DELAY_QUANTILE = 0.25;

    /** Time constant of the decay of the delay while no answers arrive, in milliseconds. */
    private static final double DELAY_TIME_CONSTANT_MS = 1_000;

    /** A gap between events that is this many times the usual one counts as a pause. */
    private static final double PAUSE_FACTOR = 4;

    private final UpstreamModelDelta mUnreported = new UpstreamModelDelta();
    private final WeightedSamples mRates = new WeightedSamples(RATE_QUANTILE);
    private final WeightedSamples mDelays = new WeightedSamples(DELAY_QUANTILE);
    private final EventTimes mEventTimes = new EventTimes();
    private ServiceMean mMean = ServiceMean.UNKNOWN;
    private double mFleetTokensPerMs;
    private double mSmoothedTokensPerMs;
    private double mHolderWeight;
    private int mSamples;
    private double mDurationMs;
    private double mPauseMs;
    private long mPauseAtMs;

    /** Records the mean of the service, which stands for this upstream until it is known. */
    void setMean(ServiceMean mean) {
        mMean = mean;
    }

    /**
     * Records the first event of an answer.
     *
     * @param nowMs the present time in milliseconds
     * @param firstMs the time from sending the request to its first event, in milliseconds
     * @param tokensToRead the prompt tokens that the upstream was expected to read for it
     * @param facts what was known when it was sent
     */
    void onFirstEvent(long nowMs, double firstMs, long tokensToRead, UpstreamChoice.Facts facts) {
        double own = Math.max(1, facts.ownTokens());
        double rate = own / (firstMs + CLOCK_STEP_MS);
        double weight = own * own / (own + facts.tokensAhead());
        mSamples++;
        mRates.add(nowMs, rate, weight);
        double readMs = (tokensToRead + facts.tokensAhead()) / tokensPerMs();
        double delayMs = Math.max(0, firstMs - readMs);
        mDelays.add(nowMs, delayMs, 1);
        mUnreported.onFirstEvent(nowMs, rate, weight, delayMs);
    }

    /**
     * Records events after the first.
     *
     * @param nowMs the present time in milliseconds
     * @param gapMs the time since the preceding events, in milliseconds
     * @param events how many arrived together
     * @param used the share of the upstream's slots that was in use
     */
    void onEvents(long nowMs, double gapMs, long events, double used) {
        double eventMs = gapMs / events;
        double usualMs = mEventTimes.eventMs(used);
        if (usualMs > 0 && eventMs > PAUSE_FACTOR * usualMs) {
            onPause(nowMs, gapMs);
            mUnreported.onPause(gapMs);
            return;
        }
        mEventTimes.onEvents(eventMs, used);
        mUnreported.onEvents(eventMs);
    }

    /** Records the time from the sending of a request to the end of its answer, in milliseconds. */
    void onCompleted(double durationMs) {
        mDurationMs += mDurationMs == 0 ? durationMs : SMOOTHING * (durationMs - mDurationMs);
    }

    /** Adds what other VMs have observed, or the fleet's model where the item has no samples. */
    void onReport(long nowMs, UpstreamModelReport.Item item) {
        if (!(item.tokensPerMs() > 0)) {
            return;
        }
        if (item.samples() <= 0) {
            mFleetTokensPerMs = item.tokensPerMs();
            return;
        }
        mSamples += item.samples();
        mRates.add(nowMs - item.ageMs(), item.tokensPerMs(), item.weight());
        mDelays.add(nowMs - item.ageMs(), item.delayMs(), item.samples());
        if (item.eventMs() > 0 && mEventTimes.eventMs(0) == 0) {
            mEventTimes.onEvents(item.eventMs(), 0);
        }
        if (item.pauseMs() > 0) {
            onPause(nowMs - item.ageMs(), item.pauseMs());
        }
    }

    private void onPause(long atMs, double gapMs) {
        if (gapMs >= pauseMs(atMs)) {
            mPauseMs = gapMs;
            mPauseAtMs = atMs;
        }
    }

    /** Returns what this VM has observed and not yet reported to the other VMs. */
    UpstreamModelDelta unreported() {
        return mUnreported;
    }

    /** Returns whether there are enough observations of this incarnation. */
    boolean isLearnt() {
        return mSamples >= MIN_SAMPLES && !mRates.isEmpty();
    }

    /** Returns the number of observations of this incarnation. */
    int samples() {
        return mSamples;
    }

    /** Returns how many prompt tokens it reads per millisecond; positive. */
    double tokensPerMs() {
        double rate = isLearnt() ? mRates.estimate() : mFleetTokensPerMs;
        double known = rate > 0 ? rate : mMean.tokensPerMs();
        return known > 0 ? known : UNLEARNT_TOKENS_PER_MS;
    }

    /**
     * Updates the weight for holding prompts: changes of the rate count once they last.
     *
     * @param share the share of the newest rate in the smoothed one
     */
    void smoothRate(double share) {
        if (!isLearnt()) {
            return;
        }
        double rate = tokensPerMs();
        mSmoothedTokensPerMs +=
                mSmoothedTokensPerMs == 0 ? rate : share * (rate - mSmoothedTokensPerMs);
        double factor = mSmoothedTokensPerMs / mHolderWeight;
        if (factor > HOLDER_CHANGE_FACTOR || factor < 1 / HOLDER_CHANGE_FACTOR) {
            mHolderWeight = mSmoothedTokensPerMs;
        }
    }

    /** Returns the weight for holding shared parts of prompts: a rate in tokens per millisecond. */
    double holderWeight() {
        return mHolderWeight > 0 ? mHolderWeight : meanTokensPerMs();
    }

    /** Returns the mean rate of the service's upstreams; positive. */
    double meanTokensPerMs() {
        return mMean.tokensPerMs() > 0 ? mMean.tokensPerMs() : tokensPerMs();
    }

    /**
     * Returns the usual time to the first event beyond the reading of all known tokens, in
     * milliseconds; decays while no answers arrive.
     */
    double delayMs(long nowMs) {
        double ageMs = Math.max(0, nowMs - mDelays.newestMs());
        return mDelays.estimate() * Math.exp(-ageMs / DELAY_TIME_CONSTANT_MS);
    }

    /** Returns the time between events in milliseconds while a share of the slots is in use. */
    double eventMs(double used) {
        return mEventTimes.eventMs(used);
    }

    /** Returns the mean time of a request there, in milliseconds; 0 where it is unknown. */
    double durationMs() {
        return mDurationMs > 0 ? mDurationMs : mMean.durationMs();
    }

    /** Returns the longest recent gap between events, in milliseconds; 0 where there was none. */
    double pauseMs(long nowMs) {
        return nowMs - mPauseAtMs < RECENT_PAUSE_MS ? mPauseMs : 0;
    }
}
