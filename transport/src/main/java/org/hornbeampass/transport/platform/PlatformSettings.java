package org.hornbeampass.transport.platform;

import org.hornbeampass.protocol.settings.Secret;

import java.net.URI;
import java.util.List;

/**
 * How to reach the platform.
 *
 * <p>Invariant: there is at least one address. Immutable; safe for use by any thread.
 *
 * @param addresses the platform's addresses without a path, such as {@code http://10.0.0.1:8080}
 * @param key the bearer key
 * @param connectTimeoutMs how long a connection may take, in milliseconds
 * @param callTimeoutMs how long an answer may keep silent, in milliseconds, besides a watch's own
 *     wait
 */
public record PlatformSettings(
        List<URI> addresses, Secret key, long connectTimeoutMs, long callTimeoutMs) {
    /** Copies the addresses and checks that there is one. */
    public PlatformSettings {
        addresses = List.copyOf(addresses);
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("give at least one platform address");
        }
    }
}
