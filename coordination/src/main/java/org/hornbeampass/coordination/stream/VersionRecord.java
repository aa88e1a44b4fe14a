package org.hornbeampass.coordination.stream;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The software versions that may have streams which callers can still resume, as the store records
 * them for one service.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param versions the versions, in order
 * @param keepMs how long a version must be absent until it is removed, in milliseconds; never
 *     shorter than the streams that began while the record had these versions
 * @param era the era of the store in which the record was last completed
 */
record VersionRecord(List<String> versions, long keepMs, long era) {
    /** Copies the list. */
    VersionRecord {
        versions = List.copyOf(versions);
    }

    /** Returns the record with more versions, and with a longer time if it is longer. */
    VersionRecord with(Collection<String> more, long otherKeepMs) {
        TreeSet<String> all = new TreeSet<>(versions);
        all.addAll(more);
        return new VersionRecord(List.copyOf(all), Math.max(keepMs, otherKeepMs), era);
    }

    /** Returns the record without versions whose streams have all ended. */
    VersionRecord without(Collection<String> ended) {
        return new VersionRecord(
                versions.stream().filter(v -> !ended.contains(v)).toList(), keepMs, era);
    }

    /** Returns the record as completed in an era of the store. */
    VersionRecord inEra(long newEra) {
        return new VersionRecord(versions, keepMs, newEra);
    }
}
