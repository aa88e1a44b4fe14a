package org.hornbeampass.transport.http;

import io.netty.handler.ssl.SslContext;
import io.vavr.Lazy;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.tls.TlsContexts;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An {@link HttpClient} on Netty's codec, with a pool of connections for each target.
 *
 * <p>An answer that has neither a length nor chunks is failed, since its end can't be told from a
 * break. Hosts should be IP numbers: the look-up of a name blocks an event loop. Thread-safe.
 */
public final class NettyHttpClient implements HttpClient {
    private final ConcurrentHashMap<Target, ConnectionPool> mPools = new ConcurrentHashMap<>();
    private final EventLoops mLoops;
    private final HttpClientSettings mSettings;

    /**
     * Made with the first encrypted connection: the runtime's own trust store takes a quarter of
     * the processor time of a router's start, and most routers never need it.
     */
    private final Lazy<SslContext> mTls;

    private final Clock mClock;
    private volatile boolean mClosed;

    private NettyHttpClient(EventLoops loops, HttpClientSettings settings, Clock clock) {
        mLoops = loops;
        mSettings = settings;
        mTls = Lazy.of(() -> TlsContexts.forClient(settings.tls()));
        settings.tls().ifPresent(files -> mTls.get()); // Files that can't be read end the start.
        mClock = clock;
    }

    /** Returns a client with standard bounds on the process-wide event loops. */
    public static HttpClient create(Clock clock) {
        return create(EventLoops.shared(), HttpClientSettings.STANDARD, clock);
    }

    /** Returns a client on given event loops. */
    public static HttpClient create(EventLoops loops, HttpClientSettings settings, Clock clock) {
        return new NettyHttpClient(loops, settings, clock);
    }

    @Override
    public Call send(Request request, Listener listener) {
        Optional<Target> target = Target.of(request.uri());
        ClientCall call =
                new ClientCall(request, target.orElse(new Target(false, "", 0)), listener);
        if (target.isEmpty()) {
            call.fail(false, "not an absolute http or https URI: " + request.uri());
            return call;
        }
        if (mClosed) {
            call.fail(false, "the client is closed");
            return call;
        }
        mPools.computeIfAbsent(target.get(), this::pool).acquire(call);
        return call;
    }

    @Override
    public void close() {
        mClosed = true;
        mPools.values().forEach(ConnectionPool::close);
    }

    private ConnectionPool pool(Target target) {
        return new ConnectionPool(
                mLoops,
                target,
                mSettings,
                target.tls() ? Optional.of(mTls.get()) : Optional.empty(),
                mClock);
    }
}
