package org.hornbeampass.router.daemon;

import io.netty.util.concurrent.EventExecutor;

import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.http.HttpClient;
import org.hornbeampass.transport.http.HttpClientSettings;
import org.hornbeampass.transport.http.HttpServer;
import org.hornbeampass.transport.http.HttpServerSettings;
import org.hornbeampass.transport.http.NettyHttpClient;
import org.hornbeampass.transport.http.NettyHttpServer;
import org.hornbeampass.transport.peer.PeerSettings;
import org.hornbeampass.transport.peer.PeerTransport;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

/**
 * The listeners, clients and event loops of one router.
 *
 * <p>Requests run on the serving loops. Calls to the platform, messages of other routers,
 * operators' requests and all ticks run on one control loop, so that they never delay a request.
 * Thread-safe.
 */
final class RouterNetwork implements AutoCloseable {
    private static final int CONTROL_THREADS = 1;
    private static final int UPSTREAM_CONNECTIONS = 2_048;
    private static final int UPSTREAM_MAX_WAITING = 8_192;
    private static final int PLATFORM_CONNECTIONS = 64;
    private static final int PLATFORM_MAX_WAITING = 4_096;

    private final EventLoops mServing;
    private final EventLoops mControl;
    private final HttpServer mCallers;
    private final HttpServer mOperators;
    private final PeerTransport mPeers;
    private final PeerNetwork mPeerNetwork;
    private final HttpClient mUpstreams;
    private final HttpClient mPlatform;
    private final DeferredHandler mCallersHandler = new DeferredHandler();
    private final DeferredHandler mOperatorsHandler = new DeferredHandler();

    /**
     * Starts listening.
     *
     * @param addresses resolves the address of another router by its name
     * @param faults the links to other routers that are cut
     */
    RouterNetwork(
            VmId self,
            RouterSettings settings,
            Clock clock,
            Function<String, Optional<InetSocketAddress>> addresses,
            LinkFaults faults) {
        mServing = EventLoops.create(settings.execution().workers(), self.name() + "-serving");
        mControl = EventLoops.create(CONTROL_THREADS, self.name() + "-control");
        RouterSettings.Listen listen = settings.listen();
        mCallers =
                NettyHttpServer.start(
                        mServing, serverSettings(listen.callers(), listen), clock, mCallersHandler);
        mOperators =
                NettyHttpServer.start(
                        mControl,
                        serverSettings(listen.operators(), listen),
                        clock,
                        mOperatorsHandler);
        PeerSettings peers = PeerSettings.of(self, listen.peers(), settings.keys().cluster());
        mPeers =
                PeerTransport.start(
                        mControl,
                        listen.peerTls().map(peers::withTls).orElse(peers),
                        clock,
                        addresses);
        mPeerNetwork =
                faults == LinkFaults.NONE
                        ? mPeers
                        : new FaultInjectingPeers(mPeers, faults, mControl, clock);
        mUpstreams =
                NettyHttpClient.create(
                        mServing,
                        HttpClientSettings.STANDARD.withPool(
                                UPSTREAM_CONNECTIONS, UPSTREAM_MAX_WAITING),
                        clock);
        mPlatform =
                NettyHttpClient.create(
                        mControl,
                        HttpClientSettings.STANDARD.withPool(
                                PLATFORM_CONNECTIONS, PLATFORM_MAX_WAITING),
                        clock);
    }

    private static HttpServerSettings serverSettings(
            InetSocketAddress address, RouterSettings.Listen listen) {
        HttpServerSettings plain = HttpServerSettings.at(address);
        return listen.tls().map(plain::withTls).orElse(plain);
    }

    HttpServer callers() {
        return mCallers;
    }

    HttpServer operators() {
        return mOperators;
    }

    PeerTransport peers() {
        return mPeers;
    }

    /** Returns the links to other routers, except for those that an experiment has cut. */
    PeerNetwork peerNetwork() {
        return mPeerNetwork;
    }

    /** Blocks every event loop for a time in milliseconds, as the pause of a VM would. */
    void pause(long ms) {
        for (EventLoops loops : List.of(mServing, mControl)) {
            for (EventExecutor loop : loops.group()) {
                loop.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms)));
            }
        }
    }

    HttpClient upstreams() {
        return mUpstreams;
    }

    HttpClient platform() {
        return mPlatform;
    }

    EventLoops control() {
        return mControl;
    }

    DeferredHandler callersHandler() {
        return mCallersHandler;
    }

    DeferredHandler operatorsHandler() {
        return mOperatorsHandler;
    }

    @Override
    public void close() {
        mCallers.close().join();
        mOperators.close().join();
        mPeers.stop().join();
        mUpstreams.close();
        mPlatform.close();
        mServing.close();
        mControl.close();
    }
}
