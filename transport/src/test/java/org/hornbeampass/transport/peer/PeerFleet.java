package org.hornbeampass.transport.peer;

import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.protocol.peer.PeerType;
import org.hornbeampass.protocol.peer.PeerTypes;
import org.hornbeampass.protocol.settings.Secret;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Starts transports on the loopback interface that know each other's addresses, for tests. */
final class PeerFleet implements AutoCloseable {
    static final long WAIT_S = 20;
    static final Secret KEY = Secret.of("cluster key");
    static final PeerTypes TYPES =
            PeerTypes.of(
                    List.of(
                            new PeerType(1, Question.class, PeerType.Form.REQUEST),
                            new PeerType(2, Reply.class, PeerType.Form.REPLY),
                            new PeerType(3, Note.class, PeerType.Form.ONE_WAY)));

    private final Clock mClock = Clock.monotonic();
    private final Map<String, InetSocketAddress> mAddresses = new ConcurrentHashMap<>();
    private final List<PeerTransport> mTransports = new ArrayList<>();

    static PeerSettings settings(String name) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return PeerSettings.of(new VmId(name, 1), any, KEY).withTypes(TYPES);
    }

    PeerTransport start(String name) {
        return start(settings(name));
    }

    PeerTransport start(PeerSettings settings) {
        PeerTransport transport =
                PeerTransport.start(
                        EventLoops.shared(),
                        settings,
                        mClock,
                        name -> Optional.ofNullable(mAddresses.get(name)));
        mTransports.add(transport);
        mAddresses.put(settings.self().name(), transport.address());
        return transport;
    }

    /** Sets the address that the transports use for a VM name. */
    void setAddress(String name, InetSocketAddress address) {
        mAddresses.put(name, address);
    }

    Either<Failure, PeerMessage> request(PeerTransport from, String to, PeerMessage question)
            throws Exception {
        return request(from, to, question, TimeUnit.SECONDS.toMillis(WAIT_S));
    }

    Either<Failure, PeerMessage> request(
            PeerTransport from, String to, PeerMessage question, long timeoutMs) throws Exception {
        CompletableFuture<Either<Failure, PeerMessage>> reply = new CompletableFuture<>();
        from.request(mClock.nowMs(), to, question, timeoutMs, (atMs, r) -> reply.complete(r));
        return reply.get(2 * WAIT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        mTransports.forEach(PeerTransport::close);
    }
}
