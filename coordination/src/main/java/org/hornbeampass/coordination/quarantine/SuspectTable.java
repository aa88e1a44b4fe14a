package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The requests during which upstreams crashed, and the verdict on each.
 *
 * <p>A crash interrupts all requests that the upstream runs, and callers repeat all of them. Two
 * rules keep the others from being taken for the one that causes crashes: a whole answer anywhere
 * clears a request of all crashes before it; and a crash that also interrupted a request with more
 * crashes counts little against one with fewer. Invariants: verdicts depend on which incarnations
 * of upstreams crashed under which requests alone, not on the order or number of messages; at most
 * one trial is under way; the table is bounded. Confined to one thread.
 */
public final class SuspectTable {
    /** How many upstreams must crash under a request before it is kept from the others. */
    static final int CRASHES_TO_QUARANTINE = 3;

    /**
     * How much the crashes count, at most, that a request with more of them explains: one more that
     * it does not explain then decides.
     */
    private static final int MAX_EXPLAINED_COUNT = CRASHES_TO_QUARANTINE - 1;

    /** For how long a crash counts against a request, and a quarantine lasts, in milliseconds. */
    static final long RETENTION_MS = 600_000;

    /**
     * By how much the end of a quarantine must differ to be taken over, in milliseconds: the time
     * that a message takes must not prolong it each time that it is told.
     */
    private static final long END_TOLERANCE_MS = 1_000;

    /**
     * How long after a verdict, or after a trial that told nothing, a trial of the same request may
     * be, in milliseconds: all crashes are known by then.
     */
    static final long TRIAL_DELAY_MS = 2_000;

    /** How many requests are kept; an upstream that crashes may have run some hundred. */
    static final int MAX_SUSPECTS = 4_096;

    /**
     * How many are forgotten at once where the table is full, since each time costs a look at all.
     */
    private static final int EVICTION_BATCH = MAX_SUSPECTS / 8;

    private final Map<RequestDigest, Suspect> mByDigest = new HashMap<>();

    /** Those with enough crashes for a verdict: few among many. */
    private final Map<RequestDigest, Suspect> mCandidates = new HashMap<>();

    private final Set<Long> mScopes = new HashSet<>();
    private final QuarantineListener mListener;
    private Optional<RequestDigest> mTrial = Optional.empty();

    /** Makes an empty table. */
    public SuspectTable(QuarantineListener listener) {
        mListener = listener;
    }

    /** Returns whether any request is known whose digest has a scope. */
    public boolean containsScope(long scope) {
        return mScopes.contains(scope);
    }

    /** Returns whether no request is known. */
    public boolean isEmpty() {
        return mByDigest.isEmpty();
    }

    /** Returns how many requests are known. */
    public int size() {
        return mByDigest.size();
    }

    /** Returns the verdict on a request. */
    public QuarantineStatus status(RequestDigest digest) {
        Suspect suspect = mByDigest.get(digest);
        if (suspect == null || suspect.unclearedCrashes().isEmpty()) {
            return QuarantineStatus.UNSUSPECTED;
        }
        return suspect.isQuarantined() ? QuarantineStatus.QUARANTINED : QuarantineStatus.SUSPECTED;
    }

    /**
     * Returns for how long a request is still kept from upstreams, in milliseconds; 0 if it is not.
     */
    public long quarantineLeftMs(long nowMs, RequestDigest digest) {
        return Optional.ofNullable(mByDigest.get(digest))
                .filter(Suspect::isQuarantined)
                .map(s -> Math.max(0, s.retainedUntilMs() - nowMs))
                .orElse(0L);
    }

    /**
     * Returns whether a quarantined request may run as a trial: where other quarantined requests
     * were interrupted by the same crashes, one of them may cause none. An answer clears it; one
     * more crash explains the crashes of the others. Two trials at the same time could end in one
     * crash, and tell nothing.
     */
    boolean isTrialDue(long nowMs, RequestDigest digest) {
        Suspect suspect = mByDigest.get(digest);
        return mTrial.isEmpty()
                && suspect != null
                && suspect.isTrialDue(nowMs)
                && sharesCrashes(suspect);
    }

    /** Counts a trial where one is due; returns whether it is. It lasts until {@link #endTrial}. */
    boolean tryStartTrial(long nowMs, RequestDigest digest) {
        boolean due = isTrialDue(nowMs, digest);
        if (due) {
            mTrial = Optional.of(digest);
            mByDigest.get(digest).onTrialStarted();
        }
        return due;
    }

    /** Ends a trial, whatever it told. */
    void endTrial(long nowMs, RequestDigest digest) {
        if (mTrial.equals(Optional.of(digest))) {
            mTrial = Optional.empty();
        }
        Optional.ofNullable(mByDigest.get(digest))
                .ifPresent(s -> s.deferTrialUntil(nowMs + TRIAL_DELAY_MS));
    }

    /**
     * Returns after what time a quarantined request may be asked for again, in milliseconds: when
     * its quarantine ends, or sooner where a trial may still clear it.
     */
    public long retryAfterMs(long nowMs, RequestDigest digest) {
        long leftMs = quarantineLeftMs(nowMs, digest);
        boolean open = leftMs > 0 && sharesCrashes(mByDigest.get(digest));
        return open ? Math.min(leftMs, TRIAL_DELAY_MS) : leftMs;
    }

    private boolean sharesCrashes(Suspect suspect) {
        Set<UpstreamIncarnation> open = suspect.unclearedCrashes();
        return mCandidates.values().stream()
                .filter(s -> s != suspect && s.isQuarantined())
                .anyMatch(s -> !Collections.disjoint(s.unclearedCrashes(), open));
    }

    /** Returns what is known of the quarantined requests. */
    List<SuspectReport.Item> quarantinedItems(long nowMs) {
        return mCandidates.values().stream()
                .filter(Suspect::isQuarantined)
                .map(s -> s.item(nowMs))
                .toList();
    }

    /** Returns what is known of a request. */
    Optional<SuspectReport.Item> item(long nowMs, RequestDigest digest) {
        return Optional.ofNullable(mByDigest.get(digest)).map(s -> s.item(nowMs));
    }

    /**
     * Takes a crash of an upstream.
     *
     * @param nowMs the present time in milliseconds
     * @param crash the upstream
     * @param requests those that were in progress there
     * @return the requests of which something new is known
     */
    List<RequestDigest> onCrash(
            long nowMs, UpstreamIncarnation crash, Collection<RequestDigest> requests) {
        List<RequestDigest> changed = new ArrayList<>();
        for (RequestDigest digest : requests) {
            Suspect suspect = getOrAdd(digest);
            suspect.setObservedLocally();
            if (suspect.add(List.of(crash), List.of())) {
                suspect.retainUntil(nowMs + RETENTION_MS);
                changed.add(digest);
            }
        }
        updateQuarantines(nowMs, changed);
        return changed;
    }

    /** Clears a request of all crashes before; returns whether there were any. */
    boolean clear(long nowMs, RequestDigest digest) {
        Suspect suspect = mByDigest.get(digest);
        if (suspect == null || !suspect.clear()) {
            return false;
        }
        updateQuarantines(nowMs, List.of(digest));
        return true;
    }

    /**
     * Takes what another VM or the store tells; returns the requests of which it told anything new.
     */
    List<RequestDigest> merge(long nowMs, List<SuspectReport.Item> items) {
        List<RequestDigest> changed = new ArrayList<>();
        for (SuspectReport.Item item : items) {
            if (merge(nowMs, item)) {
                changed.add(item.digest());
            }
        }
        updateQuarantines(nowMs, changed);
        return changed;
    }

    private boolean merge(long nowMs, SuspectReport.Item item) {
        Suspect suspect = getOrAdd(item.digest());
        boolean changed = suspect.add(item.crashes(), item.cleared());
        if (item.recorded() && !suspect.isRecorded()) {
            suspect.setRecorded();
            changed = true;
        }
        long leftMs =
                item.quarantineLeftMs() > 0
                        ? Math.min(item.quarantineLeftMs(), RETENTION_MS)
                        : RETENTION_MS;
        boolean longer = nowMs + leftMs > suspect.retainedUntilMs() + END_TOLERANCE_MS;
        if (changed || (item.quarantineLeftMs() > 0 && longer)) {
            suspect.retainUntil(nowMs + leftMs);
        }
        return changed;
    }

    /** Returns whether this VM itself saw a crash under a request. */
    boolean isObservedLocally(RequestDigest digest) {
        return Optional.ofNullable(mByDigest.get(digest))
                .filter(Suspect::isObservedLocally)
                .isPresent();
    }

    /** Notes that the store holds the quarantine of a request. */
    void onRecorded(RequestDigest digest) {
        Optional.ofNullable(mByDigest.get(digest)).ifPresent(Suspect::setRecorded);
    }

    private Suspect getOrAdd(RequestDigest digest) {
        Suspect known = mByDigest.get(digest);
        if (known != null) {
            return known;
        }
        if (mByDigest.size() >= MAX_SUSPECTS) {
            evictOldest();
        }
        Suspect added = new Suspect(digest);
        mByDigest.put(digest, added);
        mScopes.add(digest.scope());
        return added;
    }

    /** Forgets the requests that are known for longest, quarantined ones last. */
    private void evictOldest() {
        mByDigest.values().stream()
                .sorted(
                        Comparator.comparing(Suspect::isQuarantined)
                                .thenComparing(Suspect::retainedUntilMs))
                .limit(EVICTION_BATCH)
                .map(Suspect::digest)
                .toList()
                .forEach(this::remove);
        updateScopes();
    }

    /** Judges the requests of which something new is known, and those that this touches. */
    private void updateQuarantines(long nowMs, List<RequestDigest> changed) {
        for (RequestDigest digest : changed) {
            Suspect suspect = mByDigest.get(digest);
            if (suspect != null && suspect.hasEnoughCrashes()) {
                mCandidates.put(digest, suspect);
            }
        }
        if (!changed.isEmpty()) {
            mCandidates.values().forEach(s -> updateQuarantines(nowMs, s));
        }
    }

    private void updateQuarantines(long nowMs, Suspect suspect) {
        boolean quarantined = effectiveCrashCount(suspect) >= CRASHES_TO_QUARANTINE;
        if (quarantined == suspect.isQuarantined()) {
            return;
        }
        suspect.setQuarantined(quarantined, nowMs + TRIAL_DELAY_MS);
        if (quarantined) {
            mListener.onQuarantined(
                    nowMs, suspect.digest(), List.copyOf(suspect.unclearedCrashes()));
        } else {
            mListener.onReleased(nowMs, suspect.digest());
        }
    }

    /** Returns how many crashes count against a request. */
    private int effectiveCrashCount(Suspect suspect) {
        Set<UpstreamIncarnation> open = suspect.unclearedCrashes();
        if (open.size() < CRASHES_TO_QUARANTINE) {
            return open.size();
        }
        Set<UpstreamIncarnation> unexplained = new HashSet<>(open);
        for (Suspect other : mCandidates.values()) {
            Set<UpstreamIncarnation> others = other.unclearedCrashes();
            if (others.size() > open.size()) {
                unexplained.removeAll(others);
            }
        }
        int explained = open.size() - unexplained.size();
        return unexplained.size() + Math.min(MAX_EXPLAINED_COUNT, explained);
    }

    /** Forgets what is too old. */
    void tick(long nowMs) {
        List<Suspect> over =
                mByDigest.values().stream().filter(s -> nowMs >= s.retainedUntilMs()).toList();
        if (over.isEmpty()) {
            return;
        }
        over.forEach(s -> remove(s.digest()));
        updateScopes();
        over.stream()
                .filter(Suspect::isQuarantined)
                .forEach(s -> mListener.onReleased(nowMs, s.digest()));
    }

    private void remove(RequestDigest digest) {
        mByDigest.remove(digest);
        mCandidates.remove(digest);
    }

    private void updateScopes() {
        mScopes.clear();
        mByDigest.keySet().forEach(d -> mScopes.add(d.scope()));
    }
}
