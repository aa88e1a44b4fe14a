package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What is known of one request during which upstreams crashed.
 *
 * <p>Invariants: a crash that is known to be cleared stays so; the number of crashes is bounded,
 * and those that were cleared are forgotten first. Confined to one thread.
 */
final class Suspect {
    /** How many crashes are kept: more than the verdict needs, so that requests can be compared. */
    static final int MAX_CRASHES = 16;

    /**
     * How often a request runs to tell it from others; the first time may end without an answer.
     */
    private static final int MAX_TRIALS = 2;

    private final RequestDigest mDigest;

    /** Whether each crash is cleared, in the order in which the crashes became known here. */
    private final Map<UpstreamIncarnation, Boolean> mClearedByCrash = new LinkedHashMap<>();

    private long mRetainedUntilMs;
    private boolean mQuarantined;
    private boolean mRecorded;
    private boolean mObservedLocally;
    private int mTrials;
    private long mNextTrialMs = Long.MAX_VALUE;

    Suspect(RequestDigest digest) {
        mDigest = digest;
    }

    RequestDigest digest() {
        return mDigest;
    }

    /** Notes that this VM itself saw one of the crashes. */
    void setObservedLocally() {
        mObservedLocally = true;
    }

    boolean isObservedLocally() {
        return mObservedLocally;
    }

    /** Adds crashes, and those that the request did not cause; returns whether any was new. */
    boolean add(Collection<UpstreamIncarnation> crashes, Collection<UpstreamIncarnation> cleared) {
        boolean any = false;
        for (UpstreamIncarnation each : crashes) {
            any |= !cleared.contains(each) && addUncleared(each);
        }
        for (UpstreamIncarnation each : cleared) {
            any |= addCleared(each);
        }
        return any;
    }

    private boolean addUncleared(UpstreamIncarnation crash) {
        if (mClearedByCrash.containsKey(crash) || !tryMakeRoom()) {
            return false;
        }
        mClearedByCrash.put(crash, false);
        return true;
    }

    private boolean addCleared(UpstreamIncarnation crash) {
        boolean fits = mClearedByCrash.containsKey(crash) || mClearedByCrash.size() < MAX_CRASHES;
        return fits && !Boolean.TRUE.equals(mClearedByCrash.put(crash, true));
    }

    /** Returns whether there is room for one more crash, for which an old cleared one may go. */
    private boolean tryMakeRoom() {
        return mClearedByCrash.size() < MAX_CRASHES || mClearedByCrash.values().remove(true);
    }

    /** Clears the request of all crashes that are known; returns whether any was open. */
    boolean clear() {
        boolean any = mClearedByCrash.containsValue(false);
        mClearedByCrash.replaceAll((crash, cleared) -> true);
        return any;
    }

    /** Returns the crashes that it may have caused. */
    Set<UpstreamIncarnation> unclearedCrashes() {
        return crashes(false);
    }

    private Set<UpstreamIncarnation> crashes(boolean cleared) {
        return mClearedByCrash.entrySet().stream()
                .filter(e -> e.getValue() == cleared)
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Returns whether enough crashes are known for a verdict against it. */
    boolean hasEnoughCrashes() {
        return mClearedByCrash.size() >= SuspectTable.CRASHES_TO_QUARANTINE;
    }

    boolean isQuarantined() {
        return mQuarantined;
    }

    /** Takes a verdict; the first trial may be from a time in milliseconds on. */
    void setQuarantined(boolean quarantined, long trialFromMs) {
        mQuarantined = quarantined;
        mNextTrialMs = trialFromMs;
    }

    /** Returns whether it may run to tell it from other requests. */
    boolean isTrialDue(long nowMs) {
        return mQuarantined && mTrials < MAX_TRIALS && nowMs >= mNextTrialMs;
    }

    /** Counts a trial. */
    void onTrialStarted() {
        mTrials++;
    }

    /** Allows no trial before a time in milliseconds. */
    void deferTrialUntil(long ms) {
        mNextTrialMs = ms;
    }

    boolean isRecorded() {
        return mRecorded;
    }

    void setRecorded() {
        mRecorded = true;
    }

    long retainedUntilMs() {
        return mRetainedUntilMs;
    }

    /** Keeps what is known until a time in milliseconds at least. */
    void retainUntil(long untilMs) {
        mRetainedUntilMs = Math.max(mRetainedUntilMs, untilMs);
    }

    SuspectReport.Item item(long nowMs) {
        long leftMs = mQuarantined ? Math.max(0, mRetainedUntilMs - nowMs) : 0;
        return new SuspectReport.Item(
                mDigest,
                List.copyOf(mClearedByCrash.keySet()),
                List.copyOf(crashes(true)),
                leftMs,
                mRecorded);
    }
}
