package org.hornbeampass.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.hornbeampass.protocol.peer.FrameHeader;
import org.hornbeampass.protocol.peer.FrameKind;
import org.hornbeampass.protocol.peer.Handshake;
import org.hornbeampass.protocol.peer.PeerCodec;
import org.hornbeampass.protocol.peer.PeerMessageType;
import org.hornbeampass.state.VmId;
import org.hornbeampass.transport.EventLoops;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Tests that arbitrary input to a connection causes no exceptions and keeps within its limits. */
class PeerInputProperties {
    private static final int MAX_FRAME_BYTES = 200;

    @Property(seed = "7403", tries = 2000)
    void bytesBeforeTheHandshake_reachNoHandler(@ForAll("reads") List<byte[]> reads) {
        PeerContext context = context();
        AtomicInteger handled = new AtomicInteger();
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new FrameCodec(context.counters()),
                        new ListeningHandshake(context, handlers(handled)));

        feed(channel, reads);

        assertThat(handled).hasValue(0);
    }

    @Property(seed = "7404", tries = 2000)
    void bytesAfterTheHandshake_areDecodedOrCloseTheConnection(
            @ForAll("reads") List<byte[]> reads) {
        PeerContext context = context();
        FrameCodec codec = new FrameCodec(context.counters());
        codec.setMaxFrameBytes(MAX_FRAME_BYTES);
        EmbeddedChannel channel = new EmbeddedChannel(codec);
        channel.pipeline()
                .addLast(
                        new InboundConnection(
                                context,
                                handlers(new AtomicInteger()),
                                new VmId("vm-b", 1),
                                channel));

        feed(channel, reads);

        PeerCounters counters = context.counters();
        assertThat(counters.malformedFrames()).isLessThanOrEqualTo(1);
        assertThat(counters.bytesReceived())
                .isLessThanOrEqualTo(reads.stream().mapToLong(r -> r.length).sum());
    }

    @Property(seed = "7405", tries = 5000)
    void body_isDecodedOrRejected(
            @ForAll("bodies") byte[] body, @ForAll PeerMessageType messageType) {
        assertThat(PeerCodec.decode(body, messageType.type().messageClass())).isNotNull();
    }

    @Property(seed = "7406", tries = 2000)
    void handshakeBody_isDecodedOrRejected(@ForAll byte[] body) {
        assertThat(Handshake.Hello.decode(body)).isNotNull();
        assertThat(Handshake.Challenge.decode(body)).isNotNull();
    }

    @Provide
    Arbitrary<List<byte[]>> reads() {
        Arbitrary<byte[]> randomBytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(60);
        Arbitrary<Integer> kinds = Arbitraries.integers().between(0, FrameKind.values().length);
        Arbitrary<Integer> types = Arbitraries.integers().between(0, 4);
        Arbitrary<byte[]> frames =
                Combinators.combine(kinds, types, bodies()).as(PeerInputProperties::frame);
        return Arbitraries.oneOf(frames, frames, frames, randomBytes).list().ofMaxSize(8);
    }

    @Provide
    Arbitrary<byte[]> bodies() {
        Arbitrary<byte[]> randomBytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(60);
        Arbitrary<byte[]> valid =
                Arbitraries.of(
                        PeerCodec.encode(Question.of("?")),
                        PeerCodec.encode(new Note("note")),
                        new Handshake.Hello(1, new VmId("vm-b", 1), "vm-a", new byte[32]).encode());
        // Declared lengths that exceed the bytes present; no memory may be allocated for them.
        Arbitrary<byte[]> truncated =
                Arbitraries.of(
                        new byte[] {(byte) 0xC6, 0x7F, -1, -1, -1},
                        new byte[] {(byte) 0x91, (byte) 0xC6, 0x7F, -1, -1, -1},
                        new byte[] {(byte) 0x91, (byte) 0xDB, 0x7F, -1, -1, -1},
                        new byte[] {
                            (byte) 0xDD,
                            0x7F,
                            -1,
                            -1,
                            -1,
                            (byte) 0xDD,
                            0x7F,
                            -1,
                            -1,
                            -1,
                            (byte) 0xC6,
                            0x7F,
                            -1,
                            -1,
                            -1
                        },
                        new byte[] {(byte) 0xDF, 0x7F, -1, -1, -1});
        return Arbitraries.oneOf(randomBytes, valid, truncated);
    }

    private static byte[] frame(int kind, int type, byte[] body) {
        FrameHeader header = new FrameHeader(FrameHeader.VERSION, kind, type, 7);
        EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec(new PeerCounters()));
        channel.writeOutbound(new Frame(header, body));
        ByteBuf out = channel.readOutbound();
        byte[] bytes = new byte[out.readableBytes()];
        out.readBytes(bytes).release();
        channel.finishAndReleaseAll();
        return bytes;
    }

    private static PeerContext context() {
        return new PeerContext(
                EventLoops.shared(),
                PeerFleet.settings("vm-a"),
                () -> 0,
                new PeerCounters(),
                name -> Optional.empty(),
                Optional.empty());
    }

    private static PeerHandlers handlers(AtomicInteger handled) {
        PeerHandlers handlers = new PeerHandlers(PeerFleet.TYPES);
        handlers.register(
                Question.class,
                (now, from, question, reply) -> {
                    handled.incrementAndGet();
                    reply.accept(new Reply(question.text()));
                });
        return handlers;
    }

    private static void feed(EmbeddedChannel channel, List<byte[]> reads) {
        for (byte[] read : reads) {
            if (channel.isOpen()) {
                channel.writeInbound(Unpooled.wrappedBuffer(read));
            }
            channel.runPendingTasks();
        }
        channel.checkException();
        assertThat(channel.inboundMessages()).isEmpty();
        channel.finishAndReleaseAll();
    }
}
