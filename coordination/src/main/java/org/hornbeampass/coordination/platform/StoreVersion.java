package org.hornbeampass.coordination.platform;

/**
 * A version of the platform's store as one number: the era in its upper bits, the revision in its
 * lower ones.
 *
 * <p>A store that is restored from an older copy gives out its revisions again, in the next era. A
 * version of a later era is greater than any of an earlier one, so that versions can be compared
 * across eras. Stateless; safe for use by any thread.
 */
public final class StoreVersion {
    private static final int REVISION_BITS = 40;
    private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;
    private static final long MAX_ERA = Long.MAX_VALUE >> REVISION_BITS;

    private StoreVersion() {}

    /**
     * Returns the version of a revision in an era.
     *
     * @param era how often the store was restored; 0 for a store that does not state it
     * @param revision the revision that the store states
     * @throws IllegalArgumentException if the era has more than 23 bits or the revision more than
     *     40
     */
    public static long of(long era, long revision) {
        if (era < 0 || era > MAX_ERA || revision < 0 || revision > MAX_REVISION) {
            throw new IllegalArgumentException(
                    "era " + era + " and revision " + revision + " are not a version");
        }
        return (era << REVISION_BITS) | revision;
    }

    /** Returns a version's era. */
    public static long era(long version) {
        return version >> REVISION_BITS;
    }

    /** Returns a version's revision. */
    public static long revision(long version) {
        return version & MAX_REVISION;
    }

    /** Returns whether two versions belong to the same era, so that all between them are known. */
    public static boolean isSameEra(long version, long other) {
        return era(version) == era(other);
    }
}
