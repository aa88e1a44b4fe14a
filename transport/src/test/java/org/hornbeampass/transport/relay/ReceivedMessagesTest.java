package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.coordination.buffer.BufferLimit;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Checks that what waits to be handed over is counted in the bound of the VM. */
class ReceivedMessagesTest {
    private static final int PART_BYTES = 8 << 10;
    private static final int BOUND_BYTES = 1_000_000;

    private final EventLoops mLoops = EventLoops.create(1, "test");
    private final BufferLimit mLimit = new BufferLimit(BOUND_BYTES);
    private long mHandedOver;
    private final CallerServer mServer =
            CallerServer.start(
                    mLoops,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    Clock.monotonic(),
                    (nowMs, caller, head) -> new Body(),
                    () -> CallerLimits.DEFAULT,
                    new Intake(),
                    false,
                    Optional.empty());

    /** States the bound and observes nothing. */
    private final class Intake implements IntakeListener {
        @Override
        public void onHandover(long nowMs, long readMs, int waiting) {}

        @Override
        public void onUnread(long nowMs, UnreadRequest unread) {}

        @Override
        public boolean closesAfterAnswer(long nowMs, int connections) {
            return false;
        }

        @Override
        public Optional<BufferLimit> bufferLimit() {
            return Optional.of(mLimit);
        }
    }

    /** Counts the bytes of a body that are handed over. */
    private final class Body implements CallerListener {
        @Override
        public void onBody(long nowMs, ByteBuf part) {
            mHandedOver += part.readableBytes();
            part.release();
        }

        @Override
        public void onBodyEnd(long nowMs) {}

        @Override
        public void onBodyInvalid(long nowMs, Failure failure) {}

        @Override
        public void onCallerGone(long nowMs) {}

        @Override
        public void onCallerWritable(long nowMs) {}

        @Override
        public void onExit(long nowMs) {}
    }

    @AfterEach
    void close() {
        mLoops.close();
    }

    /** Creates a connection that has read a head and a number of parts of its body. */
    private EmbeddedChannel receive(int parts) {
        EmbeddedChannel channel =
                new EmbeddedChannel(new CallerConnection(mServer, Clock.monotonic()));
        DefaultHttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
        head.headers().set("Host", "h").set("Transfer-Encoding", "chunked");
        channel.pipeline().fireChannelRead(head);
        for (int i = 0; i < parts; i++) {
            channel.pipeline()
                    .fireChannelRead(
                            new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[PART_BYTES])));
        }
        return channel;
    }

    /** Guards against bodies that are held without being counted until their handover. */
    @Test
    void bodyThatWaitsForItsHandover_countsAndStopsReadsNearTheBound() {
        EmbeddedChannel channel = receive(100);
        assertThat(mLimit.totalBytes()).isEqualTo(100 * PART_BYTES);
        assertThat(channel.config().isAutoRead()).isFalse();
        channel.pipeline().fireChannelReadComplete();
        channel.runPendingTasks();
        assertThat(mHandedOver).isEqualTo(100 * PART_BYTES);
        assertThat(mLimit.totalBytes()).isZero();
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    @Test
    void bodyFarBelowTheBound_isReadOnWhileItWaits() {
        EmbeddedChannel channel = receive(10);
        assertThat(mLimit.totalBytes()).isEqualTo(10 * PART_BYTES);
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    @Test
    void callerThatLeavesBeforeTheHandover_leavesNothingHeld() {
        EmbeddedChannel channel = receive(100);
        channel.close().syncUninterruptibly();
        assertThat(mLimit.totalBytes()).isZero();
    }
}
