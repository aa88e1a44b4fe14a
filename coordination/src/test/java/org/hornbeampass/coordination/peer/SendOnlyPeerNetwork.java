package org.hornbeampass.coordination.peer;

import io.vavr.control.Either;

import org.hornbeampass.state.Failure;

import java.util.function.BiConsumer;

/** Peer network of a test in which no requests are expected. */
public abstract class SendOnlyPeerNetwork implements PeerNetwork {
    @Override
    public final void request(
            long nowMs,
            String vmName,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        throw new AssertionError("unexpected request");
    }
}
