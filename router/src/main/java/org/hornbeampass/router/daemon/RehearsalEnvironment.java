package org.hornbeampass.router.daemon;

import java.net.URI;
import java.util.List;

/**
 * A small installation for a {@link Rehearsal}: its store, with a configuration and upstreams, and
 * the requests of callers.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface RehearsalEnvironment extends AutoCloseable {
    /** Returns the address of the store. */
    URI platform();

    /** Returns callers' HTTP requests as text, each of which closes its connection. */
    List<String> requests();

    /** Returns HTTP requests for addresses as text, each of which closes its connection. */
    List<String> addressRequests();

    @Override
    void close();
}
