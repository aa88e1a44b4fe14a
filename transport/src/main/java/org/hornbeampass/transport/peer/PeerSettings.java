package org.hornbeampass.transport.peer;

import org.hornbeampass.protocol.peer.PeerTypes;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.tls.TlsFiles;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Who this router is among the others, and the bounds that it holds them to.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param self this router
 * @param listen the address to listen on; port 0 for any free one
 * @param key the key that all routers share
 * @param types the messages that this router knows
 * @param limits the bounds on sizes and counts
 * @param timing the bounds on time
 * @param tls the PEM files for both directions, with a certificate that names the IP numbers; empty
 *     for plain TCP, on which the handshake proves who connects but later bytes are not protected
 */
public record PeerSettings(
        VmId self,
        InetSocketAddress listen,
        Secret key,
        PeerTypes types,
        Limits limits,
        Timing timing,
        Optional<TlsFiles> tls) {
    /**
     * Bounds on sizes and counts.
     *
     * @param maxFrameBytes the largest frame
     * @param maxQueuedBytes the most bytes that wait for one peer
     * @param maxPending the most requests that wait for replies of one peer
     * @param maxInbound the most connections from other routers
     */
    public record Limits(int maxFrameBytes, int maxQueuedBytes, int maxPending, int maxInbound) {
        /** Bounds that suit a fleet of several hundred routers. */
        public static final Limits STANDARD = new Limits(2 << 20, 4 << 20, 4096, 2048);
    }

    /**
     * Bounds on time, in milliseconds.
     *
     * @param handshakeMs how long a connection and its handshake may take
     * @param pingMs how often a connection in use is checked; it is closed after two checks without
     *     a word from the other side
     * @param idleMs how long a connection is kept without use
     * @param minBackoffMs how long to wait after the first failed connection
     * @param maxBackoffMs how long to wait at most
     */
    public record Timing(
            long handshakeMs, long pingMs, long idleMs, long minBackoffMs, long maxBackoffMs) {
        /** Bounds that suit a fleet that heals within seconds of its network. */
        public static final Timing STANDARD = new Timing(2_000, 2_000, 60_000, 100, 3_000);
    }

    /** Returns standard bounds, without TLS. */
    public static PeerSettings of(VmId self, InetSocketAddress listen, Secret key) {
        return new PeerSettings(
                self,
                listen,
                key,
                PeerTypes.standard(),
                Limits.STANDARD,
                Timing.STANDARD,
                Optional.empty());
    }

    /** Returns these settings with other message types, for tests. */
    public PeerSettings withTypes(PeerTypes other) {
        return new PeerSettings(self, listen, key, other, limits, timing, tls);
    }

    /** Returns these settings with other bounds on sizes and counts. */
    public PeerSettings withLimits(Limits other) {
        return new PeerSettings(self, listen, key, types, other, timing, tls);
    }

    /** Returns these settings with other bounds on time. */
    public PeerSettings withTiming(Timing other) {
        return new PeerSettings(self, listen, key, types, limits, other, tls);
    }

    /** Returns these settings with TLS. */
    public PeerSettings withTls(TlsFiles files) {
        return new PeerSettings(self, listen, key, types, limits, timing, Optional.of(files));
    }
}
