package org.hornbeampass.coordination.membership;

import org.hornbeampass.state.Region;
import org.hornbeampass.state.VmId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Table of members with one entry per VM name, into which updates are merged.
 *
 * <p>Invariants: an entry's incarnation never decreases, its counter never decreases within an
 * incarnation, and {@code leaving} is never reset; the order in which updates arrive therefore does
 * not matter. An update that a live VM is gone first makes it a suspect, so that it has time to
 * refute. Not thread-safe: guarded by the lock of {@link Membership}.
 */
final class MemberTable {
    /** The number of buckets whose digests are compared; one bit each in an int. */
    static final int BUCKET_COUNT = 32;

    private final VmId mSelf;
    private final Region mSelfRegion;
    private final TreeMap<String, MemberEntry> mEntries = new TreeMap<>();
    private final TreeMap<String, Long> mForgottenIncarnations = new TreeMap<>();

    MemberTable(long nowMs, MemberUpdate self, MemberDetails details) {
        mSelf = self.vm();
        mSelfRegion = details.region();
        mEntries.put(self.name(), new MemberEntry(nowMs, self, details));
    }

    VmId selfId() {
        return mSelf;
    }

    MemberEntry self() {
        return mEntries.get(mSelf.name());
    }

    Optional<MemberEntry> entry(String name) {
        return Optional.ofNullable(mEntries.get(name));
    }

    Collection<MemberEntry> entries() {
        return mEntries.values();
    }

    /** Returns the region of a VM by name, if it is known. */
    Optional<Region> regionOf(String name) {
        return entry(name).map(MemberEntry::region);
    }

    /** Returns whether a newer incarnation of the same name is or was in the table. */
    boolean hasNewerIncarnation(VmId vm) {
        long newest = entry(vm.name()).map(e -> e.vm().incarnation()).orElse(Long.MIN_VALUE);
        long forgotten = mForgottenIncarnations.getOrDefault(vm.name(), Long.MIN_VALUE);
        return Math.max(newest, forgotten) > vm.incarnation();
    }

    /**
     * Merges one update.
     *
     * @param nowMs the current time in milliseconds
     * @param update the update
     * @param senderRegion the region of the VM that sent it, if known
     */
    MergeResult merge(long nowMs, MemberUpdate update, Optional<Region> senderRegion) {
        if (update.name().equals(mSelf.name())) {
            return mergeSelf(update);
        }
        MemberEntry entry = mEntries.get(update.name());
        if (entry == null || update.incarnation() > entry.vm().incarnation()) {
            return mergeNewIncarnation(nowMs, update);
        }
        if (update.incarnation() < entry.vm().incarnation()) {
            return MergeResult.UNCHANGED;
        }
        boolean leaves = update.leaving() && !entry.leaving();
        if (leaves) {
            entry.markLeaving();
        }
        MergeResult result = mergeHealth(nowMs, entry, update, senderRegion);
        return leaves && result == MergeResult.UNCHANGED ? MergeResult.CHANGED : result;
    }

    private MergeResult mergeSelf(MemberUpdate update) {
        if (update.incarnation() > mSelf.incarnation()) {
            return MergeResult.SUPERSEDES_SELF;
        }
        MemberEntry self = self();
        if (update.incarnation() < mSelf.incarnation() || update.counter() < self.counter()) {
            return MergeResult.UNCHANGED;
        }
        boolean contradicts = update.health() != Health.LIVE || update.counter() > self.counter();
        boolean leaves = update.leaving() && !self.leaving();
        return contradicts || leaves ? MergeResult.NEEDS_REFUTATION : MergeResult.UNCHANGED;
    }

    private MergeResult mergeNewIncarnation(long nowMs, MemberUpdate update) {
        boolean forgotten =
                mForgottenIncarnations.getOrDefault(update.name(), Long.MIN_VALUE)
                        >= update.incarnation();
        if (update.health() == Health.GONE || forgotten) {
            return MergeResult.UNCHANGED;
        }
        if (update.details().isEmpty()) {
            return MergeResult.LACKS_DETAILS;
        }
        mEntries.put(update.name(), new MemberEntry(nowMs, update, update.details().get()));
        return MergeResult.CHANGED;
    }

    private MergeResult mergeHealth(
            long nowMs, MemberEntry entry, MemberUpdate update, Optional<Region> senderRegion) {
        boolean newer = update.counter() > entry.counter();
        boolean stronger =
                update.counter() == entry.counter() && update.health().overrides(entry.health());
        if (!newer && !stronger) {
            return MergeResult.UNCHANGED;
        }
        if (update.health() == Health.LIVE) {
            entry.recordContact(nowMs);
            entry.setHealth(nowMs, update.counter(), Health.LIVE);
            return MergeResult.CHANGED;
        }
        if (!isAccusationAccepted(entry, senderRegion)) {
            return MergeResult.REJECTED;
        }
        boolean mayRefute = entry.health() == Health.LIVE && !entry.leaving();
        entry.setHealth(nowMs, update.counter(), mayRefute ? Health.SUSPECT : update.health());
        return MergeResult.CHANGED;
    }

    /**
     * Returns whether a report that a VM is suspect or gone is accepted: only from a sender in the
     * region of the accused VM or of this VM. Otherwise two regions that are disconnected from each
     * other would accuse each other at a third region.
     */
    private boolean isAccusationAccepted(MemberEntry accused, Optional<Region> senderRegion) {
        return senderRegion
                .filter(r -> r.equals(accused.region()) || r.equals(mSelfRegion))
                .isPresent();
    }

    /** Removes an entry; later updates on this or an older incarnation of the name are ignored. */
    void forget(MemberEntry entry) {
        mEntries.remove(entry.name());
        mForgottenIncarnations.merge(entry.name(), entry.vm().incarnation(), Math::max);
    }

    /** Returns a hash that is equal for tables with the same entries, those that are gone aside. */
    long digest() {
        long sum = 0;
        for (MemberEntry entry : mEntries.values()) {
            sum += entry.digest();
        }
        return sum;
    }

    List<Long> bucketDigests() {
        long[] sums = new long[BUCKET_COUNT];
        for (MemberEntry entry : mEntries.values()) {
            sums[bucketOf(entry.name())] += entry.digest();
        }
        List<Long> digests = new ArrayList<>(BUCKET_COUNT);
        for (long sum : sums) {
            digests.add(sum);
        }
        return digests;
    }

    List<MemberEntry> entriesInBucket(int bucket) {
        return mEntries.values().stream().filter(e -> bucketOf(e.name()) == bucket).toList();
    }

    static int bucketOf(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash >>> 27;
    }
}
