package org.hornbeampass.router.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * What a store holds and what callers ask in a {@link Rehearsal}, in an installation's words.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 */
public interface RehearsalScript {
    /**
     * Returns the store's objects by key: a configuration, and one upstream.
     *
     * @param upstream where the upstream listens
     */
    Map<String, String> objects(InetSocketAddress upstream);

    /** Returns the texts of requests, each of which closes its connection. */
    List<String> requests();
}
