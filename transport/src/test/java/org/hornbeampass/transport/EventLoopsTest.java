package org.hornbeampass.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Checks that closing the loops at any moment closes all of their channels. */
@Timeout(60)
class EventLoopsTest {
    /** Far more than a close takes; bounds the test in case of a fault. */
    private static final int READ_MS = 20_000;

    private static final int CONNECTIONS = 8;

    private final List<Socket> mSockets = new ArrayList<>();
    private final CountDownLatch mActive = new CountDownLatch(CONNECTIONS);
    private final CountDownLatch mInactive = new CountDownLatch(CONNECTIONS);
    private volatile Runnable mOnActive = () -> {};
    private volatile Runnable mOnRead = () -> {};
    private EventLoops mLoops;
    private Channel mListener;

    /** Notifies the test of a channel's events. */
    @Sharable
    private final class Handler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            mActive.countDown();
            mOnActive.run();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            mOnRead.run();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mInactive.countDown();
        }
    }

    private void listen(int threads) {
        mLoops = EventLoops.create(threads, "test");
        mListener =
                new ServerBootstrap()
                        .group(mLoops.group())
                        .channel(NioServerSocketChannel.class)
                        .childHandler(new Handler())
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .awaitUninterruptibly()
                        .channel();
    }

    private InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    private void connect(int threads) throws Exception {
        listen(threads);
        openSockets();
        mActive.await();
    }

    private void openSockets() throws IOException {
        InetSocketAddress address = address();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(READ_MS);
            mSockets.add(socket);
        }
    }

    @AfterEach
    void close() throws IOException {
        mLoops.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void assertAllClosed() throws Exception {
        for (Socket socket : mSockets) {
            assertThat(isEnded(socket)).isTrue();
        }
        // The system closes a listener when its selector ends.
        assertThat(mLoops.group().terminationFuture().await(READ_MS)).isTrue();
        InetSocketAddress address = address();
        assertThatThrownBy(() -> new Socket(address.getAddress(), address.getPort()).close())
                .isInstanceOf(ConnectException.class);
    }

    private void assertHandlersNotified() throws InterruptedException {
        assertThat(mInactive.await(READ_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    /**
     * Returns whether the connection was closed or reset; fails where it stays open. The system
     * drops a connection that was being set up when the listener closed, and resets it only once
     * the other end sends something.
     */
    private static boolean isEnded(Socket socket) throws IOException {
        try {
            socket.getOutputStream().write('a');
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true; // A reset.
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void closeByAnotherThreadWhileIdle_closesTheChannels(int threads) throws Exception {
        connect(threads);
        mLoops.close();
        assertAllClosed();
        assertHandlersNotified();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void closeWithinATask_closesTheChannels(int threads) throws Exception {
        connect(threads);
        mListener.eventLoop().execute(mLoops::close);
        assertAllClosed();
        assertHandlersNotified();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void closeWithinAScheduledTask_closesTheChannels(int threads) throws Exception {
        connect(threads);
        var unused = mListener.eventLoop().schedule(mLoops::close, 1, TimeUnit.MILLISECONDS);
        assertAllClosed();
        assertHandlersNotified();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void closeByAnotherThreadDuringATask_closesTheChannels(int threads) throws Exception {
        connect(threads);
        CountDownLatch running = new CountDownLatch(threads);
        CountDownLatch closed = new CountDownLatch(1);
        mLoops.group()
                .forEach(
                        loop ->
                                loop.execute(
                                        () -> {
                                            running.countDown();
                                            awaitQuietly(closed);
                                        }));
        running.await();
        mLoops.close();
        closed.countDown();
        assertAllClosed();
        assertHandlersNotified();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void closeWithinARead_closesTheChannels(int threads) throws Exception {
        connect(threads);
        mOnRead = mLoops::close;
        mSockets.get(0).getOutputStream().write('a');
        assertAllClosed();
        assertHandlersNotified();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void closeWhileAccepting_closesTheChannels(int threads) throws Exception {
        listen(threads);
        mOnActive = mLoops::close;
        assertThatThrownBy(this::openSocketsUntilRefused).isInstanceOf(SocketException.class);
        assertAllClosed();
    }

    private void openSocketsUntilRefused() throws IOException {
        while (!Thread.currentThread().isInterrupted()) {
            openSockets();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void closeBeforeTheFirstTask_endsTheLoops(int threads) throws Exception {
        listen(threads);
        EventLoops unusedLoops = EventLoops.create(threads, "unused");
        unusedLoops.close();
        assertThat(unusedLoops.group().terminationFuture().await(READ_MS)).isTrue();
    }
}
