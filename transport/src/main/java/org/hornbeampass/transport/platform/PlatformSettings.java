package org.hornbeampass.transport.platform;

import org.hornbeampass.protocol.settings.Secret;

import java.net.URI;
import java.util.List;

/**
 * The addresses, credentials and timeouts for calls to the platform.
 *
 * <p>Invariant: there is at least one address. Immutable; thread-safe.
 *
 * @param addresses the platform's addresses without a path, such as {@code http://10.0.0.1:8080}
 * @param key the key that is sent as a bearer token
 * @param connectTimeoutMs how long opening a connection may take, in milliseconds
 * @param callTimeoutMs how long a call may go without receiving data, in milliseconds; the maximum
 *     wait of a watch is added to it
 */
public record PlatformSettings(
        List<URI> addresses, Secret key, long connectTimeoutMs, long callTimeoutMs) {
    /** Copies the addresses and checks that there is at least one. */
    public PlatformSettings {
        addresses = List.copyOf(addresses);
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("at least one platform address is required");
        }
    }
}
