package org.hornbeampass.router.daemon;

import java.net.URI;
import java.util.List;

/**
 * An installation in small for a {@link Rehearsal}: its store, with a configuration and upstreams,
 * and what callers ask.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface RehearsalEnvironment extends AutoCloseable {
    /** Returns where the store listens. */
    URI platform();

    /** Returns the texts of callers' requests, each of which closes its connection. */
    List<String> requests();

    /** Returns the texts of questions for addresses, each of which closes its connection. */
    List<String> addressRequests();

    @Override
    void close();
}
