package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Where a stream began and must go on.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param service the name of the service
 * @param softwareVersion the software version of the upstream
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOrigin(String service, String softwareVersion) {
    /** Streams of upstreams that state it as their version are not resumed by callers either. */
    private static final String UNCERTAIN = "?";

    /** Returns the origin of a stream whose upstream may have run another version than stated. */
    public static StreamOrigin uncertain(String service) {
        return new StreamOrigin(service, UNCERTAIN);
    }

    /** Returns whether the version is known; if not, the stream can't be resumed. */
    public boolean hasCertainVersion() {
        return !softwareVersion.equals(UNCERTAIN);
    }
}
