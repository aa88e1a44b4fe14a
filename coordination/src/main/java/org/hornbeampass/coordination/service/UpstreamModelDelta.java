package org.hornbeampass.coordination.service;

import java.util.Optional;

/**
 * Accumulates observations of one incarnation of an upstream until they are reported.
 *
 * <p>Rates and delays are merged as means weighted by their observations and their age. Confined to
 * one thread.
 */
final class UpstreamModelDelta {
    /** The time constant of the weight of an older report among newer ones, in milliseconds. */
    private static final double AGE_TIME_CONSTANT_MS = 1_500;

    private int mSamples;
    private double mWeight;
    private double mRateSum;
    private double mDelaySum;
    private double mEventMs;
    private double mPauseMs;
    private long mNewestMs = Long.MIN_VALUE;

    /** Adds the observation of a first event. */
    void onFirstEvent(long nowMs, double tokensPerMs, double weight, double delayMs) {
        mSamples++;
        mWeight += weight;
        mRateSum += weight * tokensPerMs;
        mDelaySum += delayMs;
        mNewestMs = Math.max(mNewestMs, nowMs);
    }

    /** Adds the time between events, in milliseconds. */
    void onEvents(double eventMs) {
        mEventMs = eventMs;
    }

    /** Adds a gap between events, in milliseconds. */
    void onPause(double gapMs) {
        mPauseMs = Math.max(mPauseMs, gapMs);
    }

    /** Adds what a VM has reported; {@code receivedMs} is when its report was received. */
    void add(long nowMs, long receivedMs, UpstreamModelReport.Item item) {
        double kept = Math.exp(-(nowMs - receivedMs + item.ageMs()) / AGE_TIME_CONSTANT_MS);
        double weight = item.weight() * kept;
        mSamples += item.samples();
        mWeight += weight;
        mRateSum += weight * item.tokensPerMs();
        mDelaySum += item.samples() * item.delayMs();
        mEventMs = Math.max(mEventMs, item.eventMs());
        mPauseMs = Math.max(mPauseMs, item.pauseMs());
        mNewestMs = Math.max(mNewestMs, receivedMs - item.ageMs());
    }

    /** Returns the sum of what was added; empty where nothing was. */
    Optional<UpstreamModelReport.Item> toItem(long nowMs, UpstreamIncarnation upstream) {
        if (mSamples == 0 || !(mWeight > 0)) {
            return Optional.empty();
        }
        return Optional.of(
                new UpstreamModelReport.Item(
                        upstream,
                        mSamples,
                        (float) mWeight,
                        (float) (mRateSum / mWeight),
                        (float) (mDelaySum / mSamples),
                        (int) Math.max(0, nowMs - mNewestMs),
                        (float) mEventMs,
                        (float) mPauseMs));
    }

    /** Removes everything that was added. */
    void clear() {
        mSamples = 0;
        mWeight = 0;
        mRateSum = 0;
        mDelaySum = 0;
        mEventMs = 0;
        mPauseMs = 0;
        mNewestMs = Long.MIN_VALUE;
    }
}
