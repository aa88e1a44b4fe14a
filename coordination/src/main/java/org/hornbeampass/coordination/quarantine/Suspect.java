package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What is known of one request during which upstreams crashed.
 *
 * <p>Invariant: crashes, and those that it did not cause, are only ever added, up to a bound, so
 * that VMs that heard the same in another order know the same. Confined to one thread.
 */
final class Suspect {
    /** How many crashes are kept: more than the verdict needs, so that requests can be compared. */
    private static final int MAX_CRASHES = 16;

    private final RequestDigest mDigest;
    private final Set<UpstreamIncarnation> mCrashes = new LinkedHashSet<>();
    private final Set<UpstreamIncarnation> mCleared = new LinkedHashSet<>();
    private long mKeptUntilMs;
    private boolean mQuarantined;
    private long mJudgedMs;
    private boolean mTried;
    private boolean mRecorded;

    Suspect(RequestDigest digest) {
        mDigest = digest;
    }

    RequestDigest digest() {
        return mDigest;
    }

    /** Adds crashes and those that the request did not cause; returns whether any was new. */
    boolean add(Collection<UpstreamIncarnation> crashes, Collection<UpstreamIncarnation> cleared) {
        boolean anyCrash = addTo(mCrashes, crashes);
        boolean anyCleared = addTo(mCleared, cleared);
        return anyCrash || anyCleared;
    }

    private static boolean addTo(
            Set<UpstreamIncarnation> known, Collection<UpstreamIncarnation> more) {
        boolean any = false;
        for (UpstreamIncarnation each : more) {
            any |= known.size() < MAX_CRASHES && known.add(each);
        }
        return any;
    }

    /** Clears the request of all crashes that are known. */
    boolean clear() {
        return mCleared.addAll(mCrashes);
    }

    /** Returns the crashes that it may have caused. */
    Set<UpstreamIncarnation> open() {
        Set<UpstreamIncarnation> open = new HashSet<>(mCrashes);
        open.removeAll(mCleared);
        return open;
    }

    /** Returns all crashes that are known, in the order in which they became known here. */
    List<UpstreamIncarnation> crashes() {
        return List.copyOf(mCrashes);
    }

    /** Returns whether enough crashes are known for a verdict against it. */
    boolean judgeable() {
        return mCrashes.size() >= SuspectTable.CRASHES_TO_QUARANTINE;
    }

    boolean quarantined() {
        return mQuarantined;
    }

    void setQuarantined(long nowMs, boolean quarantined) {
        mQuarantined = quarantined;
        mJudgedMs = nowMs;
    }

    /** Returns since when the verdict is what it is, in milliseconds. */
    long judgedMs() {
        return mJudgedMs;
    }

    /** Returns whether it was run once more to tell it from others; notes that it is. */
    boolean takeTrial() {
        boolean first = !mTried;
        mTried = true;
        return first;
    }

    boolean recorded() {
        return mRecorded;
    }

    void setRecorded() {
        mRecorded = true;
    }

    long keptUntilMs() {
        return mKeptUntilMs;
    }

    /** Keeps what is known until a time in milliseconds at least. */
    void keepUntil(long untilMs) {
        mKeptUntilMs = Math.max(mKeptUntilMs, untilMs);
    }

    SuspectReport.Item item(long nowMs) {
        long leftMs = mQuarantined ? Math.max(0, mKeptUntilMs - nowMs) : 0;
        return new SuspectReport.Item(
                mDigest, List.copyOf(mCrashes), List.copyOf(mCleared), leftMs, mRecorded);
    }
}
