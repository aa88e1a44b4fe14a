package org.hornbeampass.router.front;

import org.hornbeampass.state.Failure;

import java.util.Optional;

/**
 * Decides whether this VM accepts new requests.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface Readiness {
    /** Returns {@code NOT_READY} or {@code SHUTTING_DOWN}; empty if new requests are accepted. */
    Optional<Failure> refusal();
}
