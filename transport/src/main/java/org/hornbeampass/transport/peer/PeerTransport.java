package org.hornbeampass.transport.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;

import org.hornbeampass.coordination.peer.PeerHandler;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.peer.PeerNetwork;
import org.hornbeampass.protocol.peer.PeerCodec;
import org.hornbeampass.protocol.peer.PeerType;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.hornbeampass.transport.tls.TlsContexts;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Implements {@link PeerNetwork} over TCP, with one connection per direction between two routers.
 *
 * <p>Invariant: a message is handled only after its sender has proved that it holds the cluster
 * key, and only under the identity authenticated by the handshake. Thread-safe.
 */
public final class PeerTransport implements PeerNetwork, AutoCloseable {
    private final ConcurrentHashMap<String, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final ChannelGroup mInbound =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final PeerContext mContext;
    private final PeerHandlers mHandlers;
    private final Optional<SslContext> mListenerTls;
    private final Channel mListener;

    private PeerTransport(PeerContext context) {
        mContext = context;
        mHandlers = new PeerHandlers(context.settings().types());
        mListenerTls = context.settings().tls().map(TlsContexts::forListener);
        mListener = bind();
    }

    /**
     * Starts listening.
     *
     * @param loops the event loops, which the caller owns and closes
     * @param settings the identity and limits of this router
     * @param clock the clock for the current time
     * @param addresses returns the address of a VM by its name, or empty if none is known; called
     *     on any thread, so it must not block
     * @throws IllegalStateException if binding the listen address fails
     */
    public static PeerTransport start(
            EventLoops loops,
            PeerSettings settings,
            Clock clock,
            Function<String, Optional<InetSocketAddress>> addresses) {
        Optional<SslContext> clientTls =
                settings.tls().map(files -> TlsContexts.forClient(Optional.of(files)));
        return new PeerTransport(
                new PeerContext(loops, settings, clock, new PeerCounters(), addresses, clientTls));
    }

    /**
     * Registers the handler of a message type.
     *
     * @throws IllegalArgumentException if the message is not listed in {@code PeerMessageType}, is
     *     a reply, or has a handler already
     */
    public <M extends PeerMessage> void on(Class<M> messageClass, PeerHandler<M> handler) {
        mHandlers.register(messageClass, handler);
    }

    @Override
    public void send(String vmName, PeerMessage message) {
        int number = number(message, PeerType.Form.ONE_WAY);
        link(vmName).send(mContext.clock().nowMs(), number, PeerCodec.encode(message));
    }

    @Override
    public void request(
            long nowMs,
            String vmName,
            PeerMessage request,
            long timeoutMs,
            BiConsumer<Long, Either<Failure, PeerMessage>> done) {
        int number = number(request, PeerType.Form.REQUEST);
        link(vmName).request(nowMs, number, PeerCodec.encode(request), timeoutMs, done);
    }

    /** Closes and removes the link to a VM that has left, so that it uses no more resources. */
    public void forget(String vmName) {
        Optional.ofNullable(mLinks.remove(vmName)).ifPresent(PeerLink::close);
    }

    /** Returns the bound listen address, with the actual port if port 0 was requested. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Returns the counters of this transport. */
    public PeerCounters counters() {
        return mContext.counters();
    }

    /** Closes all connections; the future completes once no more messages can arrive. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mLinks.values().forEach(PeerLink::close);
        mListener
                .close()
                .addListener(
                        unbound -> mInbound.close().addListener(closed -> stopped.complete(null)));
        return stopped;
    }

    @Override
    public void close() {
        var unused = stop();
    }

    private PeerLink link(String vmName) {
        return mLinks.computeIfAbsent(vmName, name -> new PeerLink(mContext, name));
    }

    private int number(PeerMessage message, PeerType.Form form) {
        return mContext.settings()
                .types()
                .byClass(message.getClass())
                .filter(t -> t.form() == form)
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        message.getClass()
                                                + " must be listed in PeerMessageType as "
                                                + form))
                .number();
    }

    private Channel bind() {
        PeerSettings settings = mContext.settings();
        int maxQueuedBytes = settings.limits().maxQueuedBytes();
        var bound =
                new ServerBootstrap()
                        .group(mContext.loops().group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(maxQueuedBytes / 2, maxQueuedBytes))
                        .childHandler(new Initializer())
                        .bind(settings.listen())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "can't listen on " + settings.listen() + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    /** Initializes the pipeline of a connection from another router. */
    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            if (mInbound.size() >= mContext.settings().limits().maxInbound()) {
                Channels.close(channel);
                return;
            }
            mInbound.add(channel);
            mListenerTls.ifPresent(
                    tls -> channel.pipeline().addLast(tls.newHandler(channel.alloc())));
            channel.pipeline()
                    .addLast(
                            new FrameCodec(mContext.counters()),
                            new ListeningHandshake(mContext, mHandlers));
        }
    }
}
