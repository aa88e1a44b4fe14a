package org.hornbeampass.coordination.drain;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.state.VmId;

/**
 * Orders a router to drain: to be left out of address answers, finish its requests and stop.
 *
 * <p>Idempotent; answered by {@link DrainAnswer}. A router of another incarnation ignores it, so
 * that an old order never stops the replacement of a VM. Immutable; safe for use by any thread.
 *
 * @param vm the VM to drain, with its incarnation
 * @param operator the operator who gave the order, for the log
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record DrainOrder(VmId vm, String operator) implements PeerMessage {}
