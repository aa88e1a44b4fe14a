package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.function.Consumer;

/**
 * A peer's ask that is to be answered from the next grant of this VM.
 *
 * @param ask the ask
 * @param untilMs the latest time of the reply in milliseconds
 * @param reply receives the reply, exactly once
 */
record DeferredAsk(AskGrant ask, long untilMs, Consumer<PeerMessage> reply) {}
