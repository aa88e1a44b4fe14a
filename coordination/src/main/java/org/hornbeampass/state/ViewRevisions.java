package org.hornbeampass.state;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The newest revision that a VM knows of each view of the store; 0 where it knows none.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param configuration the revision of the configuration
 * @param upstreams the revision of the newest change of an upstream
 * @param evacuations the revision of the newest change of an evacuation
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ViewRevisions(long configuration, long upstreams, long evacuations) {
    /** Returns the revision of one view. */
    public long of(ViewKind view) {
        return switch (view) {
            case CONFIGURATION -> configuration;
            case UPSTREAMS -> upstreams;
            case EVACUATIONS -> evacuations;
        };
    }
}
