package org.hornbeampass.coordination.drain;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.VmId;

/**
 * Orders a router to drain: to leave the address answers, finish its requests and stop.
 *
 * <p>Idempotent; answered by {@link DrainAnswer}. An incarnation that is not the one meant ignores
 * it, so that an old order never stops a VM that was replaced. Immutable; safe for use by any
 * thread.
 *
 * @param vm the incarnation that is to drain
 * @param operator who ordered it, for the log
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record DrainOrder(VmId vm, String operator) implements PeerMessage {}
