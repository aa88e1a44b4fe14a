package org.hornbeampass.transport.peer;

import org.hornbeampass.protocol.peer.PeerTypes;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.tls.TlsFiles;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The settings of a peer transport: the router's identity, address, key and limits.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param self the id of this router's VM
 * @param listen the address to listen on; port 0 selects any free port
 * @param key the cluster key, which all routers share
 * @param types the message types that this router knows
 * @param limits the limits on sizes and counts
 * @param timing the timeouts and intervals
 * @param tls the PEM files for both directions, with a certificate that lists the IP addresses;
 *     empty for plain TCP, where the handshake authenticates both sides but later bytes are
 *     unprotected
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
     * Limits on sizes and counts.
     *
     * @param maxFrameBytes the maximum size of a frame, in bytes
     * @param maxQueuedBytes the maximum bytes queued for one peer
     * @param maxPending the maximum requests to one peer that wait for their replies
     * @param maxInbound the maximum connections from other routers
     */
    public record Limits(int maxFrameBytes, int maxQueuedBytes, int maxPending, int maxInbound) {
        /** Limits that suit a fleet of several hundred routers. */
        public static final Limits STANDARD = new Limits(2 << 20, 4 << 20, 4096, 2048);
    }

    /**
     * Timeouts and intervals, in milliseconds.
     *
     * @param handshakeMs the timeout for connecting and, separately, for the handshake
     * @param pingMs the interval of the liveness checks of a connection in use; it is closed after
     *     two checks without a frame from the other side
     * @param idleMs how long an unused connection is kept open
     * @param minBackoffMs the delay after the first failed connection
     * @param maxBackoffMs the maximum delay after failed connections
     */
    public record Timing(
            long handshakeMs, long pingMs, long idleMs, long minBackoffMs, long maxBackoffMs) {
        /** Timing with which routers reconnect within seconds after the network has recovered. */
        public static final Timing STANDARD = new Timing(2_000, 2_000, 60_000, 100, 3_000);
    }

    /** Returns settings with the standard limits, timing and message types, without TLS. */
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

    /** Returns a copy of these settings with other message types, for tests. */
    public PeerSettings withTypes(PeerTypes other) {
        return new PeerSettings(self, listen, key, other, limits, timing, tls);
    }

    /** Returns a copy of these settings with other limits on sizes and counts. */
    public PeerSettings withLimits(Limits other) {
        return new PeerSettings(self, listen, key, types, other, timing, tls);
    }

    /** Returns a copy of these settings with other timing. */
    public PeerSettings withTiming(Timing other) {
        return new PeerSettings(self, listen, key, types, limits, other, tls);
    }

    /** Returns a copy of these settings with TLS. */
    public PeerSettings withTls(TlsFiles files) {
        return new PeerSettings(self, listen, key, types, limits, timing, Optional.of(files));
    }
}
