package org.hornbeampass.coordination.stream;

import java.util.Optional;

/**
 * The result of a search for the software version that began a stream.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param softwareVersion the version; empty where it is not known
 * @param source where it is known from
 * @param askedVms how many other VMs were asked
 * @param repliedVms how many of them had replied when the search ended
 */
public record FoundOrigin(
        Optional<String> softwareVersion, Source source, int askedVms, int repliedVms) {
    /** Where the version of a stream is known from. */
    public enum Source {
        /** This VM has stored the stream's origin. */
        THIS_VM("this-vm"),
        /** Another VM has stored the stream's origin. */
        ANOTHER_VM("another-vm"),
        /** No other version of the service has been in use for as long as a stream may last. */
        ONLY_VERSION("only-version"),
        /** The version is not known. */
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

    /** Returns the result where no VM knows the version. */
    static FoundOrigin unknown(int askedVms, int repliedVms) {
        return new FoundOrigin(Optional.empty(), Source.UNKNOWN, askedVms, repliedVms);
    }

    /** Returns this result, or where it is unknown a version that must have begun the stream. */
    public FoundOrigin orOnlyVersion(Optional<String> version) {
        return softwareVersion.isPresent() || version.isEmpty()
                ? this
                : new FoundOrigin(version, Source.ONLY_VERSION, askedVms, repliedVms);
    }
}
