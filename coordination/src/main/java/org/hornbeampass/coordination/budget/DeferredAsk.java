package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.peer.PeerMessage;

import java.util.function.Consumer;

/**
 * A peer's ask that waits for this VM's next grant.
 *
 * @param ask what the peer asks for
 * @param untilMs when it is answered at the latest
 * @param reply takes the answer, exactly once
 */
record DeferredAsk(AskGrant ask, long untilMs, Consumer<PeerMessage> reply) {}
