package org.hornbeampass.router.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Resolves the address on which another router listens, by its name.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class PeerAddresses {
    private PeerAddresses() {}

    /**
     * Returns the address from the membership; empty while the components are still being created.
     */
    static Optional<InetSocketAddress> resolve(
            AtomicReference<Coordination> coordination, String vmName) {
        return Optional.ofNullable(coordination.get())
                .flatMap(p -> p.membership().peerAddress(vmName))
                .flatMap(PeerAddresses::parse);
    }

    /**
     * Parses the form {@code host:port}, where the host is an IP address; empty if it is malformed.
     */
    static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        try {
            return Optional.of(
                    new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
