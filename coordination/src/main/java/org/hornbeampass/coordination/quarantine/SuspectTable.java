package org.hornbeampass.coordination.quarantine;

import org.hornbeampass.coordination.service.UpstreamIncarnation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The requests during which upstreams crashed, the parts that their prompts may share with others,
 * and whether each is quarantined.
 *
 * <p>A crash interrupts all requests that the upstream runs, and callers repeat all of them. Two
 * rules distinguish the request that causes the crashes from the others: a successful answer on any
 * VM clears a request of all earlier crashes; and a crash that also interrupted a request with more
 * crashes is explained by that request, and explained crashes together count less than a quarantine
 * requires. A prompt part is quarantined for crashes that it does not share with likelier suspects:
 * one request that has them all, or parts that have more crashes for each request that arrives with
 * them; a successful answer to a request sent after a crash clears the parts of its prompt of that
 * crash. Invariants: quarantines of requests depend only on which incarnations of upstreams crashed
 * during which requests, not on the order or number of messages; at most one trial is in progress;
 * the table is bounded. Confined to one thread.
 */
public final class SuspectTable {
    /**
     * The largest number of explained crashes that count, explained ones being those that another
     * request with more crashes shares: one unexplained crash is then enough for a quarantine.
     */
    private static final int MAX_EXPLAINED_COUNT = SuspectKind.REQUEST.crashesToQuarantine() - 1;

    /**
     * How long a crash counts against a request and how long a quarantine lasts, in milliseconds.
     */
    static final long RETENTION_MS = 600_000;

    /**
     * How much later the end in a report must be to be adopted, in milliseconds: otherwise the
     * transit time of each report would prolong the quarantine.
     */
    private static final long END_TOLERANCE_MS = 1_000;

    /**
     * How long after the start of a quarantine or the end of a trial the same request may run as a
     * trial, in milliseconds: all crashes are known by then.
     */
    static final long TRIAL_DELAY_MS = 2_000;

    /** The largest number of requests kept; an upstream may run some hundred when it crashes. */
    static final int MAX_SUSPECTS = 4_096;

    /**
     * How many entries are evicted at once when the table is full, since each eviction scans the
     * whole table.
     */
    private static final int EVICTION_BATCH = MAX_SUSPECTS / 8;

    private final Map<SuspectDigest, Suspect> mByDigest = new HashMap<>();

    /** The entries with enough crashes for a quarantine, a small part of the table. */
    private final Map<SuspectDigest, Suspect> mCandidates = new HashMap<>();

    private final Set<Long> mScopes = new HashSet<>();
    private int mParts;
    private final QuarantineListener mListener;

    /** What the trial in progress is of; empty while there is none. */
    private final Set<SuspectDigest> mTrial = new HashSet<>();

    /** Counts the changes of entries, so that what follows from them is computed once. */
    private long mChanges;

    /** Creates an empty table. */
    public SuspectTable(QuarantineListener listener) {
        mListener = listener;
    }

    /** Returns whether the table holds any request whose digest has the given scope. */
    public boolean containsScope(long scope) {
        return mScopes.contains(scope);
    }

    /** Returns whether the table holds no request. */
    public boolean isEmpty() {
        return mByDigest.isEmpty();
    }

    /** Returns whether the table holds any prompt part. */
    public boolean containsParts() {
        return mParts > 0;
    }

    /** Returns the number of requests and prompt parts in the table. */
    public int size() {
        return mByDigest.size();
    }

    /** Returns the status of a request or prompt part. */
    public QuarantineStatus status(SuspectDigest digest) {
        Suspect suspect = mByDigest.get(digest);
        if (suspect == null) {
            return QuarantineStatus.UNSUSPECTED;
        }
        if (suspect.isQuarantined()) {
            return QuarantineStatus.QUARANTINED;
        }
        return suspect.unclearedCrashes().size() < suspect.kind().crashesToStopRetries()
                ? QuarantineStatus.UNSUSPECTED
                : QuarantineStatus.SUSPECTED;
    }

    /**
     * Counts a request with a suspected prompt part, whether it is sent or refused: of two parts
     * with the same crashes, the one that fewer requests have is the likelier cause.
     */
    public void onArrival(SuspectDigest part) {
        Suspect suspect = mByDigest.get(part);
        if (suspect != null) {
            suspect.onArrival();
        }
    }

    /**
     * Returns whether a request would have enough crashes for a quarantine if a number of other
     * upstreams had crashed during it as well.
     */
    public boolean wouldQuarantine(SuspectDigest digest, int moreCrashes) {
        int crashes =
                Optional.ofNullable(mByDigest.get(digest))
                        .map(s -> s.unclearedCrashes().size())
                        .orElse(0);
        return crashes + moreCrashes >= digest.kind().crashesToQuarantine();
    }

    /**
     * Returns the remaining time of a request's quarantine in milliseconds; 0 if it is not
     * quarantined.
     */
    public long quarantineLeftMs(long nowMs, SuspectDigest digest) {
        return Optional.ofNullable(mByDigest.get(digest))
                .filter(Suspect::isQuarantined)
                .map(s -> Math.max(0, s.retainedUntilMs() - nowMs))
                .orElse(0L);
    }

    /**
     * Returns whether the quarantine of a suspect is over for the fleet. VMs may differ on whether
     * other parts explain the crashes of a prompt part, so its quarantine ends only once too few of
     * its crashes are left.
     */
    boolean isOver(long nowMs, SuspectDigest digest) {
        if (digest.kind() == SuspectKind.REQUEST) {
            return quarantineLeftMs(nowMs, digest) == 0;
        }
        Suspect suspect = mByDigest.get(digest);
        return suspect == null
                || suspect.unclearedCrashes().size() < digest.kind().crashesToQuarantine();
    }

    /**
     * Returns whether a quarantined request may run as a trial. Where other requests were
     * interrupted by the same crashes, it may not have caused any. An answer to the trial clears
     * the request; one more crash explains the crashes of the others. Two trials at the same time
     * could be interrupted by the same crash and would then prove nothing.
     */
    boolean isTrialDue(long nowMs, SuspectDigest digest) {
        Suspect suspect = mByDigest.get(digest);
        return mTrial.isEmpty()
                && suspect != null
                && suspect.isTrialDue(nowMs)
                && mayBeInnocent(suspect);
    }

    /** Returns whether a request may run as a trial of all its quarantined suspects. */
    boolean isTrialDue(long nowMs, Collection<SuspectDigest> subjects) {
        boolean due = !subjects.isEmpty() && subjects.stream().allMatch(d -> isTrialDue(nowMs, d));
        return due
                && (subjects.size() == 1
                        || CommonTrial.mayAllBeInnocent(
                                subjects.stream().map(mByDigest::get).toList(),
                                mCandidates.values()));
    }

    /**
     * Starts a trial of all given suspects if one is due; returns whether it was started. It lasts
     * until {@link #endTrial} was called for each.
     */
    boolean tryStartTrial(long nowMs, Collection<SuspectDigest> subjects) {
        boolean due = isTrialDue(nowMs, subjects);
        if (due) {
            mTrial.addAll(subjects);
            subjects.forEach(d -> mByDigest.get(d).onTrialStarted());
        }
        return due;
    }

    /**
     * Starts a trial if one is due; returns whether it was started. It lasts until {@link
     * #endTrial}.
     */
    boolean tryStartTrial(long nowMs, SuspectDigest digest) {
        return tryStartTrial(nowMs, List.of(digest));
    }

    /** Ends a trial, whatever its outcome, and delays the next one. */
    void endTrial(long nowMs, SuspectDigest digest) {
        mTrial.remove(digest);
        Optional.ofNullable(mByDigest.get(digest))
                .ifPresent(s -> s.deferTrialUntil(nowMs + TRIAL_DELAY_MS));
    }

    /**
     * Returns how long a caller should wait before it repeats a quarantined request, in
     * milliseconds: until the quarantine ends, or less where a trial may still clear the request.
     */
    public long retryAfterMs(long nowMs, SuspectDigest digest) {
        long leftMs = quarantineLeftMs(nowMs, digest);
        boolean mayBeCleared = leftMs > 0 && mayBeInnocent(mByDigest.get(digest));
        return mayBeCleared ? Math.min(leftMs, TRIAL_DELAY_MS) : leftMs;
    }

    /**
     * Returns whether a trial may clear a quarantined suspect. A common prompt part can have many
     * crashes for no reason but that all upstreams crashed at the same time.
     */
    private boolean mayBeInnocent(Suspect suspect) {
        return suspect.kind() == SuspectKind.PROMPT_PART
                ? suspect.mayBeTried()
                : mayBeExplained(suspect);
    }

    /** Returns whether another suspect may have caused the crashes of a quarantined request. */
    private boolean mayBeExplained(Suspect suspect) {
        if (suspect.explanationCheckedAt() != mChanges) {
            Set<UpstreamIncarnation> uncleared = suspect.unclearedCrashes();
            boolean explained =
                    mByDigest.values().stream()
                            .anyMatch(s -> s != suspect && s.mayHaveCaused(uncleared));
            suspect.setMayBeExplained(explained, mChanges);
        }
        return suspect.mayBeExplained();
    }

    /** Returns the state of the quarantined requests for a report. */
    List<SuspectReport.Item> quarantinedItems(long nowMs) {
        return mCandidates.values().stream()
                .filter(Suspect::isQuarantined)
                .map(s -> s.item(nowMs))
                .toList();
    }

    /** Returns the suspects that may have caused at least so many crashes. */
    List<Suspect> withUnclearedCrashes(int crashes) {
        return mByDigest.values().stream()
                .filter(s -> s.unclearedCrashes().size() >= crashes)
                .toList();
    }

    /** Returns the state of a request for a report; empty if it is not in the table. */
    Optional<SuspectReport.Item> item(long nowMs, SuspectDigest digest) {
        return Optional.ofNullable(mByDigest.get(digest)).map(s -> s.item(nowMs));
    }

    /**
     * Records a crash that this VM saw.
     *
     * @param nowMs the present time in milliseconds
     * @param crash the upstream that crashed
     * @param requests the requests that were in flight there
     * @return the requests whose entries changed
     */
    List<SuspectDigest> onCrash(
            long nowMs, UpstreamIncarnation crash, Collection<SuspectDigest> requests) {
        List<SuspectDigest> changed = new ArrayList<>();
        for (SuspectDigest digest : requests) {
            Suspect suspect = getOrAdd(digest);
            suspect.setObservedLocally();
            if (suspect.add(nowMs, List.of(crash), List.of())) {
                suspect.retainUntil(nowMs + RETENTION_MS);
                changed.add(digest);
            }
        }
        updateQuarantines(nowMs, changed);
        return changed;
    }

    /** Clears a suspect of all earlier crashes; returns whether there were any. */
    boolean clear(long nowMs, SuspectDigest digest) {
        Suspect suspect = mByDigest.get(digest);
        if (suspect == null || !suspect.clear()) {
            return false;
        }
        updateQuarantines(nowMs, List.of(digest));
        return true;
    }

    /**
     * Clears a suspect of the crashes that this VM learned of before a time in milliseconds;
     * returns whether there were any.
     */
    boolean clearLearnedBefore(long nowMs, SuspectDigest digest, long ms) {
        Suspect suspect = mByDigest.get(digest);
        if (suspect == null || !suspect.clearLearnedBefore(ms)) {
            return false;
        }
        updateQuarantines(nowMs, List.of(digest));
        return true;
    }

    /**
     * Merges items from another VM or from the store; returns the requests whose entries changed.
     */
    List<SuspectDigest> merge(long nowMs, List<SuspectReport.Item> items) {
        List<SuspectDigest> changed = new ArrayList<>();
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
        boolean changed = suspect.add(nowMs, item.crashes(), item.cleared());
        changed |= suspect.mergeTrials(item.trials());
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

    /** Returns whether this VM itself saw a crash during a request. */
    boolean isObservedLocally(SuspectDigest digest) {
        return Optional.ofNullable(mByDigest.get(digest))
                .filter(Suspect::isObservedLocally)
                .isPresent();
    }

    /** Records that the store holds the quarantine of a request. */
    void onRecorded(SuspectDigest digest) {
        Optional.ofNullable(mByDigest.get(digest)).ifPresent(Suspect::setRecorded);
    }

    private Suspect getOrAdd(SuspectDigest digest) {
        Suspect known = mByDigest.get(digest);
        if (known != null) {
            return known;
        }
        if (mByDigest.size() >= MAX_SUSPECTS) {
            evictOldest();
        }
        Suspect added = new Suspect(digest);
        mByDigest.put(digest, added);
        index(digest);
        return added;
    }

    /** Evicts the entries that expire soonest, quarantined ones last. */
    private void evictOldest() {
        mByDigest.values().stream()
                .sorted(
                        Comparator.comparing(Suspect::isQuarantined)
                                .thenComparing(Suspect::retainedUntilMs))
                .limit(EVICTION_BATCH)
                .map(Suspect::digest)
                .toList()
                .forEach(this::removeSuspect);
        updateScopes();
    }

    /**
     * Updates the quarantines after the entries of some requests changed, which may affect others.
     */
    private void updateQuarantines(long nowMs, List<SuspectDigest> changed) {
        for (SuspectDigest digest : changed) {
            Suspect suspect = mByDigest.get(digest);
            if (suspect != null && suspect.hasEnoughCrashes()) {
                mCandidates.put(digest, suspect);
            }
        }
        if (!changed.isEmpty()) {
            mChanges++;
            mCandidates.values().forEach(s -> updateQuarantines(nowMs, s));
        }
    }

    private void updateQuarantines(long nowMs, Suspect suspect) {
        boolean quarantined =
                suspect.kind() == SuspectKind.PROMPT_PART
                        ? isLikeliestCause(suspect)
                        : hasEnoughEffectiveCrashes(suspect);
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

    private boolean hasEnoughEffectiveCrashes(Suspect request) {
        return effectiveCrashCount(request) >= SuspectKind.REQUEST.crashesToQuarantine();
    }

    /** Returns how many crashes count against a request, explained ones only up to a bound. */
    private int effectiveCrashCount(Suspect suspect) {
        Set<UpstreamIncarnation> uncleared = suspect.unclearedCrashes();
        if (uncleared.size() < SuspectKind.REQUEST.crashesToQuarantine()) {
            return uncleared.size();
        }
        Set<UpstreamIncarnation> unexplained = new HashSet<>(uncleared);
        for (Suspect other : mCandidates.values()) {
            Set<UpstreamIncarnation> others = other.unclearedCrashes();
            if (other.kind() == SuspectKind.REQUEST && others.size() > uncleared.size()) {
                unexplained.removeAll(others);
            }
        }
        int explained = uncleared.size() - unexplained.size();
        return unexplained.size() + Math.min(MAX_EXPLAINED_COUNT, explained);
    }

    /** Returns whether a prompt part has enough crashes that no likelier suspect shares. */
    private boolean isLikeliestCause(Suspect part) {
        Set<UpstreamIncarnation> unexplained = part.unclearedCrashes();
        if (unexplained.size() < SuspectKind.PROMPT_PART.crashesToQuarantine()) {
            return false;
        }
        for (Suspect other : mCandidates.values()) {
            Set<UpstreamIncarnation> others = other.unclearedCrashes();
            if (other.kind() == SuspectKind.REQUEST
                    && others.containsAll(part.unclearedCrashes())) {
                return false;
            }
            if (other.kind() == SuspectKind.PROMPT_PART && other.isLikelierThan(part)) {
                unexplained.removeAll(others);
            }
        }
        return unexplained.size() > Suspect.MAX_MISSED_CRASHES;
    }

    /** Removes entries that have expired, and decides anew on parts by what has arrived. */
    void tick(long nowMs) {
        if (mParts > 0) {
            mCandidates.values().stream()
                    .filter(s -> s.kind() == SuspectKind.PROMPT_PART)
                    .forEach(s -> updateQuarantines(nowMs, s));
        }
        List<Suspect> expired =
                mByDigest.values().stream().filter(s -> nowMs >= s.retainedUntilMs()).toList();
        if (expired.isEmpty()) {
            return;
        }
        expired.forEach(s -> removeSuspect(s.digest()));
        updateScopes();
        expired.stream()
                .filter(Suspect::isQuarantined)
                .forEach(s -> mListener.onReleased(nowMs, s.digest()));
    }

    private void removeSuspect(SuspectDigest digest) {
        mChanges++;
        mByDigest.remove(digest);
        mCandidates.remove(digest);
    }

    private void updateScopes() {
        mScopes.clear();
        mParts = 0;
        mByDigest.keySet().forEach(this::index);
    }

    private void index(SuspectDigest digest) {
        if (digest.kind() == SuspectKind.PROMPT_PART) {
            mParts++;
        } else {
            mScopes.add(digest.scope());
        }
    }
}
