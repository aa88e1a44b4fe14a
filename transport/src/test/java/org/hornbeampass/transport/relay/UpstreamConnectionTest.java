package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.transport.AnswerDecoder;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks which ends of a connection are taken for the end of an answer. */
class UpstreamConnectionTest {
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nbody";
    private static final String FRAMED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    private final EventLoops mLoops = EventLoops.create(1, "test");
    private final UpstreamPool mPool =
            new UpstreamPool(mLoops, Clock.monotonic(), UpstreamPool.ConnectListener.NONE);
    private final UpstreamConnection mConnection =
            new UpstreamConnection(mPool, "127.0.0.1:1", Clock.monotonic());
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(
                    new AnswerDecoder(new HttpDecoderConfig(), mConnection::methodOf),
                    new HttpRequestEncoder(),
                    mConnection);
    private final Recorder mRecorder = new Recorder();

    /** Records the calls to a listener. */
    private static final class Recorder implements UpstreamListener, AnswerIds {
        private final List<String> mCalls = new ArrayList<>();
        private String mRequestId = "q";
        private int mStatus;
        private Runnable mOnPart = () -> {};

        @Override
        public boolean onHead(long nowMs, HttpResponse head) {
            boolean related = idOf(head).orElse(mRequestId).equals(mRequestId);
            if (related) {
                mStatus = head.status().code();
                mCalls.add("head");
            }
            return related;
        }

        @Override
        public String requestId() {
            return mRequestId;
        }

        @Override
        public Optional<String> idOf(HttpResponse head) {
            return Optional.ofNullable(head.headers().get("Id"));
        }

        @Override
        public void onUnrequested(
                long nowMs, HttpResponse head, AnswerFraming framing, UnrequestedInput where) {
            mCalls.add(where.logName());
        }

        @Override
        public void onPart(long nowMs, ByteBuf part) {
            mCalls.add(part.toString(StandardCharsets.US_ASCII));
            part.release();
            mOnPart.run();
        }

        @Override
        public void onReadComplete(long nowMs) {}

        @Override
        public void onEnd(long nowMs) {
            mCalls.add("end");
        }

        @Override
        public void onBroken(long nowMs, String reason) {
            mCalls.add("broken");
        }

        @Override
        public void onUpstreamWritable(long nowMs) {}
    }

    @BeforeEach
    void send() {
        start(HttpMethod.GET);
    }

    private void start(HttpMethod method) {
        mConnection.start(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/"), mRecorder, mRecorder);
        mConnection.sendEnd();
    }

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
        mLoops.close();
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void receiveEndOfInput() {
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }

    @Test
    void unframedAnswer_endsWithTheInput() {
        receive(UNFRAMED);
        assertThat(mRecorder.mCalls).containsExactly("head", "body");
        receiveEndOfInput();
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "end");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void unframedAnswerOnAConnectionThatThisVmCloses_isBroken() {
        receive(UNFRAMED);
        Channels.close(mChannel);
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "broken");
    }

    @Test
    void unframedAnswerOnAConnectionThatFails_isBroken() {
        receive(UNFRAMED);
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        receiveEndOfInput();
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "broken");
    }

    @Test
    void framedAnswer_endsBeforeTheInput() {
        receive(FRAMED);
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "end");
        assertThat(mChannel.isOpen()).isTrue();
    }

    @Test
    void framedAnswerThatIsCutShort_isBroken() {
        receive(FRAMED.substring(0, FRAMED.length() - 1));
        receiveEndOfInput();
        assertThat(mRecorder.mCalls).containsExactly("head", "bod", "broken");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void endOfInputWithoutAnAnswer_isBroken() {
        receiveEndOfInput();
        assertThat(mRecorder.mCalls).containsExactly("broken");
    }

    @Test
    void endOfInputOnAnIdleConnection_closesIt() {
        receive(FRAMED);
        receiveEndOfInput();
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "end");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void answerToAHeadRequest_endsWithItsHead() {
        receive(FRAMED);
        start(HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK\r\n\r\n");
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "end", "head", "end");
    }

    @Test
    void lateAnswerToTheRequestBefore_endsAnUnframedAnswer() {
        receive(FRAMED);
        mRecorder.mRequestId = "r";
        start(HttpMethod.GET);
        receive(UNFRAMED);
        receive("HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 4\r\n\r\nbody");
        assertThat(mRecorder.mCalls)
                .containsExactly(
                        "head", "body", "end", "head", "body", "in-unframed-answer", "end");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "HEAD"})
    void lateAnswer_isReadAsItsOwnMethodRequires(String method) {
        String length = "\r\nContent-Length: 4\r\n\r\n";
        boolean bodiless = method.equals("HEAD");
        receive(FRAMED);
        mRecorder.mCalls.clear();
        mRecorder.mRequestId = "r";
        start(HttpMethod.valueOf(method));
        receive("HTTP/1.1 200 OK" + length + (bodiless ? "" : "body"));
        mRecorder.mRequestId = "s";
        start(bodiless ? HttpMethod.GET : HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK\r\nId: r" + length + (bodiless ? "" : "body"));
        receive("HTTP/1.1 200 OK\r\nId: s" + length + (bodiless ? "BODY" : ""));
        List<String> expected = new ArrayList<>(List.of("head", "end", "before-answer", "head"));
        expected.add(bodiless ? 4 : 1, bodiless ? "BODY" : "body");
        expected.add("end");
        assertThat(mRecorder.mCalls).containsExactlyElementsOf(expected);
    }

    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "101 Switching Protocols\r\nUpgrade: x", "103 Hints"})
    void informationalAnswer_isFollowedByTheAnswer(String status) {
        receive("HTTP/1.1 " + status + "\r\n\r\n" + FRAMED);
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "end");
    }

    @Test
    void partOfAHeadThatFollowsAnAnswer_closesTheConnection() {
        receive(FRAMED + "HTTP/1.1 200 OK\r\nServer: ");
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "end");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void answerThatEndsWhileItIsNotToBeRead_leavesItsConnectionReading() {
        mRecorder.mOnPart = () -> mConnection.setReading(false);
        receive(FRAMED);
        assertThat(mRecorder.mCalls).containsExactly("head", "body", "end");
        assertThat(mChannel.isOpen()).isTrue();
        assertThat(mChannel.config().isAutoRead()).isTrue();
    }

    @Test
    void connectionOnWhichAnUnrelatedAnswerCame_isClosedAfterTheAnswer() {
        receive("HTTP/1.1 200 OK\r\nId: p\r\nContent-Length: 0\r\n\r\n");
        assertThat(mChannel.isOpen()).isTrue();
        receive(FRAMED);
        assertThat(mRecorder.mCalls).containsExactly("before-answer", "head", "body", "end");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void lateAnswerThatIsCutShort_doesNotChangeTheStatusOfTheNext() {
        String late = "HTTP/1.1 200 OK\r\nServer: s\r\nId: q\r\nContent-Length: 4\r\n\r\nbody";
        List<String> wrong = new ArrayList<>();
        for (int i = 1; i < late.length(); i++) {
            UpstreamConnectionTest each = new UpstreamConnectionTest();
            each.send();
            each.receive(FRAMED);
            each.mRecorder.mRequestId = "r";
            each.start(HttpMethod.GET);
            each.receive(late.substring(0, i));
            each.receive("HTTP/1.1 500 Failed\r\nId: r\r\nContent-Length: 4\r\n\r\nbody");
            if (each.mRecorder.mCalls.lastIndexOf("head") > 0 && each.mRecorder.mStatus == 200) {
                wrong.add(late.substring(0, i));
            }
            each.close();
        }
        assertThat(wrong).isEmpty();
    }
}
