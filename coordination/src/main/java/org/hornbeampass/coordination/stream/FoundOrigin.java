package org.hornbeampass.coordination.stream;

import java.util.Optional;

/**
 * The result of a search for the origin of a stream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param origin the origin; empty where it is not known
 * @param source where it is known from
 * @param askedVms how many other VMs were asked
 * @param repliedVms how many of them had replied when the search ended
 */
public record FoundOrigin(
        Optional<StreamOrigin> origin, Source source, int askedVms, int repliedVms) {
    /** Where the origin of a stream is known from. */
    public enum Source {
        /** This VM has stored the stream's origin. */
        THIS_VM("this-vm"),
        /** Another VM has stored the stream's origin. */
        ANOTHER_VM("another-vm"),
        /** A VM that may have ended has recorded the stream's origin in the store. */
        STORE("store"),
        /** By the store's record, no other version of the service can have begun the stream. */
        ONLY_VERSION("only-version"),
        /** The origin is not known. */
        UNKNOWN("unknown");

        private final String mLogName;

        Source(String logName) {
            mLogName = logName;
        }

        /** Returns its name in logs. */
        public String logName() {
            return mLogName;
        }
    }

    /** Returns the result where no VM knows the origin. */
    static FoundOrigin unknown(int askedVms, int repliedVms) {
        return new FoundOrigin(Optional.empty(), Source.UNKNOWN, askedVms, repliedVms);
    }

    /** Returns this result with what the records in the store say instead. */
    public FoundOrigin orStored(StoredOrigin stored) {
        return new FoundOrigin(stored.origin(), stored.source(), askedVms, repliedVms);
    }
}
