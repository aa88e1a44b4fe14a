package org.hornbeampass.coordination.stream;

import java.util.Optional;

/**
 * What the records in the store say of where a stream began.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param origin the origin; empty where it is not known
 * @param source where it is known from
 * @param reason why it is not known
 */
public record StoredOrigin(
        Optional<StreamOrigin> origin, FoundOrigin.Source source, Reason reason) {
    /** Why the records do not tell the origin of a stream. */
    public enum Reason {
        /** The origin is known. */
        NONE(""),
        /** The caller names no attempt that could be looked up. */
        NO_ATTEMPT("no-attempt"),
        /** The store has no record of the service's versions. */
        NO_VERSION_RECORD("no-version-record"),
        /** The store did not answer in time, or with no valid record. */
        STORE_UNAVAILABLE("store-unavailable"),
        /** The store was restored, and the record has not been completed since. */
        STORE_RESTORED("store-restored"),
        /** Streams of several versions may be resumed, and none of the records has this one. */
        SEVERAL_VERSIONS("several-versions"),
        /** The route leads to several services, and none of the records has the stream. */
        SEVERAL_SERVICES("several-services");

        private final String mLogName;

        Reason(String logName) {
            mLogName = logName;
        }

        /** Returns whether a VM may have recorded the stream all the same. */
        boolean mayBeArchived() {
            return this == SEVERAL_VERSIONS || this == SEVERAL_SERVICES || this == STORE_RESTORED;
        }

        /** Returns its name in logs. */
        public String logName() {
            return mLogName;
        }
    }

    static StoredOrigin known(StreamOrigin origin, FoundOrigin.Source source) {
        return new StoredOrigin(Optional.of(origin), source, Reason.NONE);
    }

    static StoredOrigin unknown(Reason reason) {
        return new StoredOrigin(Optional.empty(), FoundOrigin.Source.UNKNOWN, reason);
    }
}
