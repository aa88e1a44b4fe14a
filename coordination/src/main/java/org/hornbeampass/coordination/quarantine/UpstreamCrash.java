package org.hornbeampass.coordination.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The end of one incarnation of an upstream, which happens once and is told by many.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param upstream the upstream's identity
 * @param bornMs when it had started, in milliseconds of its own clock; -1 where it does not tell
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamCrash(String upstream, long bornMs) {
    /** The start of an upstream that does not tell it. */
    public static final long NOT_TOLD_MS = -1;
}
