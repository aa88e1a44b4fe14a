package org.hornbeampass.router.front;

import org.hornbeampass.state.Failure;

import java.util.Optional;

/**
 * Tells whether this VM takes new requests.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface Readiness {
    /** Returns why not: {@code NOT_READY} or {@code SHUTTING_DOWN}; empty where it does. */
    Optional<Failure> refusal();
}
