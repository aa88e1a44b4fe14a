package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.FailureDomain;

/**
 * Requests the revisions that were reported to a collector; answered by {@link RevisionsReply}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param domain the failure domain whose reports are requested
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RevisionsRequest(FailureDomain domain) implements PeerMessage {}
