package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;

/**
 * Answers {@link SubmitEntries} where the owner can't decide now; the entries may still be decided.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param retryAfterMs when to ask again, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntriesRefused(long retryAfterMs) implements PeerMessage {}
