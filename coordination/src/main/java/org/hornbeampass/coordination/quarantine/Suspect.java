package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The crashes and the quarantine of one suspect: a request during which upstreams crashed, or a
 * part of the prompts of such requests.
 *
 * <p>Invariants: a crash that is cleared stays cleared; the number of crashes is bounded, and
 * cleared ones are evicted first. Confined to one thread.
 */
final class Suspect {
    /**
     * The largest number of crashes kept: more than a quarantine requires, so that requests can be
     * compared by their numbers of crashes.
     */
    static final int MAX_CRASHES = 16;

    /**
     * How many crashes of a suspect may be missing from the entries of those that may have caused
     * them all: a VM can miss a crash, and a report can be lost.
     */
    static final int MAX_MISSED_CRASHES = 1;

    /** How many times more crashes for each arrival are clearly more. */
    private static final int CLEAR_RATIO = 2;

    /** Added to the arrivals of each suspect, since a VM may have seen few by chance. */
    private static final int ASSUMED_ARRIVALS = 8;

    private final SuspectDigest mDigest;

    /** Whether each crash is cleared, in the order in which this VM learned of the crashes. */
    private final Map<UpstreamIncarnation, Boolean> mClearedByCrash = new LinkedHashMap<>();

    /** When this VM learned of each crash, in milliseconds. */
    private final Map<UpstreamIncarnation, Long> mLearnedMsByCrash = new HashMap<>();

    private long mArrivals;
    private long mRetainedUntilMs;
    private boolean mQuarantined;
    private boolean mRecorded;
    private boolean mObservedLocally;
    private int mTrials;
    private long mNextTrialMs = Long.MAX_VALUE;
    private boolean mMayBeExplained;
    private long mExplanationCheckedAt = -1;

    Suspect(SuspectDigest digest) {
        mDigest = digest;
    }

    SuspectDigest digest() {
        return mDigest;
    }

    SuspectKind kind() {
        return mDigest.kind();
    }

    /** Counts a request that arrived at this VM. */
    void onArrival() {
        mArrivals++;
    }

    /** Returns whether this suspect has clearly more crashes for each arrival than another one. */
    boolean isLikelierThan(Suspect other) {
        long mine = (other.mArrivals + ASSUMED_ARRIVALS) * unclearedCrashes().size();
        long others = (mArrivals + ASSUMED_ARRIVALS) * other.unclearedCrashes().size();
        return mine >= CLEAR_RATIO * others;
    }

    /** Records that this VM itself saw one of the crashes. */
    void setObservedLocally() {
        mObservedLocally = true;
    }

    boolean isObservedLocally() {
        return mObservedLocally;
    }

    /**
     * Adds crashes and marks those in {@code cleared} as not caused by the request; returns whether
     * anything changed.
     */
    boolean add(
            long nowMs,
            Collection<UpstreamIncarnation> crashes,
            Collection<UpstreamIncarnation> cleared) {
        boolean changed = false;
        for (UpstreamIncarnation crash : crashes) {
            changed |= !cleared.contains(crash) && addUncleared(nowMs, crash);
        }
        for (UpstreamIncarnation crash : cleared) {
            changed |= addCleared(crash);
        }
        return changed;
    }

    private boolean addUncleared(long nowMs, UpstreamIncarnation crash) {
        if (mClearedByCrash.containsKey(crash) || !tryMakeRoom()) {
            return false;
        }
        mClearedByCrash.put(crash, false);
        mLearnedMsByCrash.keySet().retainAll(mClearedByCrash.keySet());
        mLearnedMsByCrash.put(crash, nowMs);
        return true;
    }

    private boolean addCleared(UpstreamIncarnation crash) {
        boolean fits = mClearedByCrash.containsKey(crash) || mClearedByCrash.size() < MAX_CRASHES;
        return fits && !Boolean.TRUE.equals(mClearedByCrash.put(crash, true));
    }

    /**
     * Makes room for one more crash, evicting a cleared one if necessary; returns whether there is
     * room.
     */
    private boolean tryMakeRoom() {
        return mClearedByCrash.size() < MAX_CRASHES || mClearedByCrash.values().remove(true);
    }

    /** Clears the request of all known crashes; returns whether any was not cleared yet. */
    boolean clear() {
        boolean any = mClearedByCrash.containsValue(false);
        mClearedByCrash.replaceAll((crash, cleared) -> true);
        return any;
    }

    /**
     * Clears the crashes that this VM learned of before a time in milliseconds; returns whether
     * there were any.
     */
    boolean clearLearnedBefore(long ms) {
        boolean any = false;
        for (UpstreamIncarnation crash : unclearedCrashes()) {
            if (mLearnedMsByCrash.getOrDefault(crash, ms) < ms) {
                any |= addCleared(crash);
            }
        }
        return any;
    }

    /** Returns the crashes that the request may have caused. */
    Set<UpstreamIncarnation> unclearedCrashes() {
        return crashes(false);
    }

    private Set<UpstreamIncarnation> crashes(boolean cleared) {
        return mClearedByCrash.entrySet().stream()
                .filter(e -> e.getValue() == cleared)
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Returns whether this suspect has all of some crashes, but for those that may be missed. */
    boolean hasNearlyAll(Set<UpstreamIncarnation> crashes) {
        Set<UpstreamIncarnation> own = unclearedCrashes();
        return crashes.stream().filter(c -> !own.contains(c)).count() <= MAX_MISSED_CRASHES;
    }

    /**
     * Returns whether this suspect may have caused crashes: a quarantined one at least some of
     * them, a request with too few crashes for a quarantine nearly all.
     */
    boolean mayHaveCaused(Set<UpstreamIncarnation> crashes) {
        if (mQuarantined) {
            return !Collections.disjoint(unclearedCrashes(), crashes);
        }
        return kind() == SuspectKind.REQUEST && !hasEnoughCrashes() && hasNearlyAll(crashes);
    }

    /** Returns whether enough crashes are known, cleared ones included, for a quarantine. */
    boolean hasEnoughCrashes() {
        return mClearedByCrash.size() >= kind().crashesToQuarantine();
    }

    boolean isQuarantined() {
        return mQuarantined;
    }

    /**
     * Sets whether the request is quarantined, and the earliest time of a trial in milliseconds.
     */
    void setQuarantined(boolean quarantined, long earliestTrialMs) {
        mQuarantined = quarantined;
        mNextTrialMs = earliestTrialMs;
    }

    /** Returns whether the request may run as a trial. */
    boolean isTrialDue(long nowMs) {
        return mQuarantined && mayBeTried() && nowMs >= mNextTrialMs;
    }

    /** Returns whether a trial may still show that the suspect caused no crash. */
    boolean mayBeTried() {
        return mTrials < kind().maxTrials();
    }

    /** Counts a trial that starts. */
    void onTrialStarted() {
        mTrials++;
    }

    /**
     * Learns how many trials another VM knows of; returns whether it knows of more. One VM at a
     * time allows trials, so the larger number includes the smaller one.
     */
    boolean mergeTrials(int trials) {
        boolean more = trials > mTrials;
        mTrials = Math.max(mTrials, trials);
        return more;
    }

    /** Sets the earliest time of the next trial, in milliseconds. */
    void deferTrialUntil(long ms) {
        mNextTrialMs = ms;
    }

    /** Returns whether another request may have caused the crashes, as set last. */
    boolean mayBeExplained() {
        return mMayBeExplained;
    }

    /** Returns after how many changes of the table that was determined; -1 if it was not. */
    long explanationCheckedAt() {
        return mExplanationCheckedAt;
    }

    /** Sets whether another request may have caused the crashes. */
    void setMayBeExplained(boolean explained, long checkedAt) {
        mMayBeExplained = explained;
        mExplanationCheckedAt = checkedAt;
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

    /** Extends the retention of this entry to at least a time in milliseconds. */
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
                mRecorded,
                mTrials);
    }
}
