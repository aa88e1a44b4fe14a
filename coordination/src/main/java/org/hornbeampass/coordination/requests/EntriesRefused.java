package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Reply to {@link SubmitEntries} if the owner can't decide on the entries now; they may still be
 * decided later.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param retryAfterMs how long to wait before sending the entries again, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntriesRefused(long retryAfterMs) implements PeerMessage {}
