package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;

import java.net.URI;

/**
 * Creates the client of an installation's store.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 */
@FunctionalInterface
public interface PlatformFactory {
    /** Creates a client that uses an HTTP client, which the caller keeps and closes. */
    Platform create(HttpClient client, URI address, Clock clock);
}
