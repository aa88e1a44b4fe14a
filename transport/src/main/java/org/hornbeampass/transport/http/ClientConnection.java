package org.hornbeampass.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.transport.AnswerDecoder;
import org.hornbeampass.transport.AnswerInputBound;
import org.hornbeampass.transport.BoundedInput;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.UpstreamLimits;

import java.net.URI;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One connection to a target, with at most one call on it.
 *
 * <p>Invariants: a call's request is written at most once; once a byte of it may have left, the
 * call fails with {@code sent}; a connection goes back to its pool only after an answer that ended
 * properly and after which nothing followed, so that no later call is given what is not its own.
 * All state belongs to the channel's event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
        implements BoundedInput.Connection {
    private static final Logger LOG = LogManager.getLogger(ClientConnection.class);
    private static final long MIN_TICK_MS = 10;
    private static final long MAX_TICK_MS = 1_000;
    private static final int TICKS_PER_TIMEOUT = 4;

    private final ConnectionPool mPool;
    private final Channel mChannel;
    private final Clock mClock;
    private final long mMaxIdleMs;
    private final AnswerInputBound mBound = new AnswerInputBound(UpstreamLimits.DEFAULT);
    private Optional<ClientCall> mCall = Optional.empty();
    private boolean mKeepAlive;
    private boolean mSkipInterim;
    private boolean mReleasable;
    private long mLastUseMs;
    private long mTickMs = Long.MAX_VALUE;
    private Optional<Future<?>> mTick = Optional.empty();

    ClientConnection(ConnectionPool pool, Channel channel, Clock clock, long maxIdleMs) {
        mPool = pool;
        mChannel = channel;
        mClock = clock;
        mMaxIdleMs = maxIdleMs;
    }

    /** Returns the bound on what is read of an answer outside its body. */
    AnswerInputBound bound() {
        return mBound;
    }

    /**
     * Returns the method of the call on this connection, to which each answer is taken to belong.
     */
    HttpMethod method() {
        return mCall.map(c -> HttpMethod.valueOf(c.request().method())).orElse(HttpMethod.GET);
    }

    @Override
    public boolean isAnswerExpected() {
        return mCall.isPresent();
    }

    @Override
    public void onUnexpectedInput() {
        mReleasable = false;
        Channels.close(mChannel);
    }

    @Override
    public void onBoundExceeded(String reason) {
        fail(reason);
    }

    /** Returns whether the connection is still open; on any thread. */
    boolean open() {
        return mChannel.isActive();
    }

    /** Writes a call's request, or hands the call back to the pool if no byte can leave. */
    void start(ClientCall call) {
        if (mChannel.eventLoop().inEventLoop()) {
            startOnLoop(call);
        } else {
            mChannel.eventLoop().execute(() -> startOnLoop(call));
        }
    }

    /** Closes the connection if the call is still on it; on any thread. */
    void cancel(ClientCall call) {
        mChannel.eventLoop().execute(() -> closeIfOn(call));
    }

    /** Starts or stops reading as the call asks; on any thread. */
    void updateReading(ClientCall call) {
        mChannel.eventLoop()
                .execute(
                        () -> {
                            if (isOn(call)) {
                                mLastUseMs = mClock.nowMs();
                                mChannel.config().setAutoRead(!call.paused());
                            }
                        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mCall.isEmpty()) {
                mReleasable = false;
                Channels.close(mChannel);
                return;
            }
            take(mCall.get(), (HttpObject) message);
        } catch (RuntimeException e) {
            LOG.error("a listener failed on a part of an answer", e);
            fail("the answer could not be handled");
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Gives the connection back, but only if nothing follows the answer's end. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!mReleasable) {
            return;
        }
        mReleasable = false;
        if (mChannel.pipeline().get(AnswerDecoder.class).holdsInput()) {
            Channels.close(mChannel);
        } else {
            mPool.release(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mTick.ifPresent(t -> t.cancel(false));
        fail("the connection was closed before the answer's end");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("the connection failed: " + cause);
    }

    private void startOnLoop(ClientCall call) {
        if (!mChannel.isActive()) {
            mPool.acquire(call);
            return;
        }
        if (!call.attach(this)) {
            mPool.release(this);
            return;
        }
        mCall = Optional.of(call);
        mKeepAlive = false;
        mSkipInterim = false;
        mBound.onRequest();
        mLastUseMs = mClock.nowMs();
        startTick(call.request().idleTimeoutMs());
        FullHttpRequest request;
        try {
            request = encode(call);
        } catch (IllegalArgumentException e) {
            mCall = Optional.empty();
            mPool.release(this);
            call.fail(false, "the request can't be sent: " + e.getMessage());
            return;
        }
        if (call.paused()) {
            mChannel.config().setAutoRead(false);
        }
        mChannel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                fail("the request could not be written: " + written.cause());
                            }
                        });
    }

    private void take(ClientCall call, HttpObject part) {
        mLastUseMs = mClock.nowMs();
        if (part instanceof HttpResponse head && AnswerDecoder.joinsTwoHeads(head)) {
            fail("the answer is not HTTP/1.1: its head holds another one");
            return;
        }
        if (part.decoderResult().isFailure()) {
            fail("the answer is not HTTP/1.1: " + part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpResponse response) {
            takeHead(call, response);
        }
        if (part instanceof HttpContent content && !mSkipInterim) {
            takeContent(call, content);
        }
    }

    private void takeHead(ClientCall call, HttpResponse response) {
        mSkipInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (mSkipInterim) {
            mBound.onSkippedAnswer();
            return;
        }
        mBound.onHead();
        if (!endIsMarked(call, response)) {
            fail("the answer has neither a length nor chunks, so its end can't be known");
            return;
        }
        mKeepAlive = HttpUtil.isKeepAlive(response);
        call.head(response.status().code(), headers(response.headers()));
    }

    private void takeContent(ClientCall call, HttpContent content) {
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            mBound.onBody(bytes.readableBytes());
            call.data(ByteBufUtil.getBytes(bytes));
        }
        if (!(content instanceof LastHttpContent) || !isOn(call)) {
            return;
        }
        mCall = Optional.empty();
        if (mKeepAlive) {
            mReleasable = true;
            mChannel.config().setAutoRead(true);
        } else {
            Channels.close(mChannel);
        }
        call.end();
    }

    private static boolean endIsMarked(ClientCall call, HttpResponse response) {
        int status = response.status().code();
        return HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response)
                || status == 204
                || status == 304
                || call.request().method().equals("HEAD");
    }

    private static Map<String, String> headers(HttpHeaders headers) {
        Map<String, String> result = new HashMap<>();
        headers.forEach(
                h ->
                        result.merge(
                                h.getKey().toLowerCase(Locale.ROOT),
                                h.getValue(),
                                (a, b) -> a + ", " + b));
        return result;
    }

    private static FullHttpRequest encode(ClientCall call) {
        HttpClient.Request request = call.request();
        FullHttpRequest encoded =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        path(request.uri()),
                        Unpooled.wrappedBuffer(request.body()));
        HttpHeaders headers = encoded.headers();
        request.headers().forEach(headers::set);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.remove(HttpHeaderNames.CONNECTION);
        headers.set(HttpHeaderNames.HOST, call.target().hostHeader());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return encoded;
    }

    private static String path(URI uri) {
        String path = uri.getRawPath();
        String base = path == null || path.isEmpty() ? "/" : path;
        return uri.getRawQuery() == null ? base : base + "?" + uri.getRawQuery();
    }

    private boolean isOn(ClientCall call) {
        return mCall.isPresent() && mCall.get() == call;
    }

    private void closeIfOn(ClientCall call) {
        if (isOn(call)) {
            mCall = Optional.empty();
            Channels.close(mChannel);
        }
    }

    private void fail(String reason) {
        Optional<ClientCall> call = mCall;
        mCall = Optional.empty();
        Channels.close(mChannel);
        call.ifPresent(c -> c.fail(true, reason));
    }

    private void startTick(long idleTimeoutMs) {
        long shortest = Math.min(idleTimeoutMs, mMaxIdleMs);
        long tickMs = Math.max(MIN_TICK_MS, Math.min(MAX_TICK_MS, shortest / TICKS_PER_TIMEOUT));
        if (tickMs >= mTickMs) {
            return;
        }
        mTickMs = tickMs;
        mTick.ifPresent(t -> t.cancel(false));
        mTick =
                Optional.of(
                        mChannel.eventLoop()
                                .scheduleWithFixedDelay(
                                        this::checkIdle, tickMs, tickMs, TimeUnit.MILLISECONDS));
    }

    private void checkIdle() {
        long idleMs = mClock.nowMs() - mLastUseMs;
        if (mCall.isEmpty()) {
            if (idleMs >= mMaxIdleMs) {
                Channels.close(mChannel);
            }
            return;
        }
        ClientCall call = mCall.get();
        if (!call.paused() && idleMs >= call.request().idleTimeoutMs()) {
            fail("the answer paused for " + idleMs + " ms");
        }
    }
}
