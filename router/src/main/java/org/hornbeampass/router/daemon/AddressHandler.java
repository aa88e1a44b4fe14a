package org.hornbeampass.router.daemon;

import io.netty.handler.codec.http.HttpRequest;

import org.hornbeampass.router.relay.AddressRequest;
import org.hornbeampass.router.relay.WireFormat;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.transport.relay.CallerConnection;
import org.hornbeampass.transport.relay.CallerHandler;
import org.hornbeampass.transport.relay.CallerListener;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Answers callers that ask for the addresses of VMs.
 *
 * <p>Confined to one event loop.
 */
final class AddressHandler implements CallerHandler {
    /** Selects the VMs that an answer names. */
    @FunctionalInterface
    interface Selection {
        List<Member> membersFor(long nowMs, AddressRequest request);
    }

    private static final double MS_PER_S = 1_000.0;

    private final WireFormat mWire;
    private final Selection mSelection;
    private final LongSupplier mKeepMs;

    /**
     * Creates the handler.
     *
     * @param wire the wire format of the installation
     * @param selection selects the VMs
     * @param keepMs returns for how long callers may keep an answer, in milliseconds
     */
    AddressHandler(WireFormat wire, Selection selection, LongSupplier keepMs) {
        mWire = wire;
        mSelection = selection;
        mKeepMs = keepMs;
    }

    @Override
    public CallerListener onRequest(long nowMs, CallerConnection caller, HttpRequest head) {
        Optional<AddressRequest> request = mWire.readAddressRequest(head);
        if (request.isEmpty()) {
            JsonAnswers.respond(caller, 404, "{}");
            return CallerListener.IGNORING;
        }
        List<InetSocketAddress> addresses =
                mSelection.membersFor(nowMs, request.get()).stream()
                        .map(m -> PeerAddresses.parse(m.httpAddress()))
                        .flatMap(Optional::stream)
                        .toList();
        JsonAnswers.respond(
                caller, 200, mWire.addresses(addresses, mKeepMs.getAsLong() / MS_PER_S));
        return CallerListener.IGNORING;
    }
}
