package org.hornbeampass.coordination.ratelimit;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Grants or denies a permit.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param granted whether the request may be sent
 * @param retryAfterMs how long to wait before another request for a permit, in milliseconds; 0 if
 *     the permit is granted
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PermitReply(boolean granted, long retryAfterMs) implements PeerMessage {
    /** The reply that grants a permit. */
    static final PermitReply GRANTED = new PermitReply(true, 0);

    /** Returns a reply that denies a permit. */
    static PermitReply denied(long retryAfterMs) {
        return new PermitReply(false, retryAfterMs);
    }
}
