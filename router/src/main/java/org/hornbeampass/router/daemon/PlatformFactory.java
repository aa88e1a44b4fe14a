package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.http.HttpClient;

import java.net.URI;

/**
 * Makes the client of an installation's store.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 */
@FunctionalInterface
public interface PlatformFactory {
    /** Makes a client on an HTTP client, which stays the caller's. */
    Platform create(HttpClient client, URI address, Clock clock);
}
