package org.hornbeampass.router.daemon;

import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.router.relay.AddressRequest;
import org.hornbeampass.router.relay.WireFormat;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.CallerListener;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * Answers callers that ask for the addresses of VMs.
 *
 * <p>Confined to one event loop.
 */
final class AddressHandler implements CallerHandler {
    private static final double MS_PER_S = 1_000.0;

    private final WireFormat mWire;
    private final LongFunction<DirectorySnapshot> mSnapshots;

    /**
     * Creates the handler.
     *
     * @param wire the wire format of the installation
     * @param snapshots returns the snapshot to answer from at a time in milliseconds
     */
    AddressHandler(WireFormat wire, LongFunction<DirectorySnapshot> snapshots) {
        mWire = wire;
        mSnapshots = snapshots;
    }

    @Override
    public CallerListener onRequest(long nowMs, CallerConnection caller, HttpRequest head) {
        Optional<AddressRequest> request = mWire.readAddressRequest(head);
        if (request.isEmpty()) {
            JsonAnswers.respond(caller, 404, "{}");
            return CallerListener.IGNORING;
        }
        DirectorySnapshot snapshot = mSnapshots.apply(nowMs);
        List<InetSocketAddress> addresses =
                snapshot.selection().apply(request.get()).stream()
                        .map(m -> PeerAddresses.parse(m.httpAddress()))
                        .flatMap(Optional::stream)
                        .toList();
        JsonAnswers.respond(caller, 200, mWire.addresses(addresses, snapshot.keepMs() / MS_PER_S));
        return CallerListener.IGNORING;
    }
}
