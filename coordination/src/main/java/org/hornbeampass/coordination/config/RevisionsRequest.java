package org.hornbeampass.coordination.config;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.FailureDomain;

/**
 * Asks a collector for the revisions reported to it; answered by {@link RevisionsReply}.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param domain the failure domain whose VMs are asked for
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RevisionsRequest(FailureDomain domain) implements PeerMessage {}
