package org.hornbeampass.coordination.peer;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;

import java.util.function.BiConsumer;

/** The network of a test in which nothing is asked. */
public abstract class SendOnlyPeerNetwork implements PeerNetwork {
    @Override
    public final void request(
            long nowMs,
            String vmName,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        throw new AssertionError("nothing is asked");
    }
}
