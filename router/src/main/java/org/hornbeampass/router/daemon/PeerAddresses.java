package org.hornbeampass.router.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Finds where another router listens, by its name.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class PeerAddresses {
    private PeerAddresses() {}

    /** Returns the address as membership knows it; empty while the parts are being made. */
    static Optional<InetSocketAddress> resolve(AtomicReference<Coordination> parts, String vmName) {
        return Optional.ofNullable(parts.get())
                .flatMap(p -> p.membership().peerAddress(vmName))
                .flatMap(PeerAddresses::parse);
    }

    /** Parses the form {@code host:port}; the host is an IP number. */
    static Optional<InetSocketAddress> parse(String text) {
        int cut = text.lastIndexOf(':');
        if (cut <= 0) {
            return Optional.empty();
        }
        String host = text.substring(0, cut).replace("[", "").replace("]", "");
        try {
            return Optional.of(
                    new InetSocketAddress(host, Integer.parseInt(text.substring(cut + 1))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
