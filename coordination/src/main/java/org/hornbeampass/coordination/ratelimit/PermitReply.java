package org.hornbeampass.coordination.ratelimit;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Grants or denies a permit.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param granted whether the request may be sent
 * @param retryAfterMs when there may be a permit, in milliseconds from now on; 0 where one was
 *     granted
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitReply(boolean granted, long retryAfterMs) implements PeerMessage {
    /** The permit is granted. */
    static final PermitReply GRANTED = new PermitReply(true, 0);

    /** The permit is denied. */
    static PermitReply denied(long retryAfterMs) {
        return new PermitReply(false, retryAfterMs);
    }
}
