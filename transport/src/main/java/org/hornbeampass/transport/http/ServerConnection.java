package org.hornbeampass.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One caller's connection: collects a request, hands it to the handler and sends the answer, one
 * after another.
 *
 * <p>Invariants: at most one request is with the handler; requests that arrive meanwhile wait, and
 * nothing more is read while one waits, so that what waits is bounded by one read of the socket.
 * Parts of an answer that were put since the last turn of the event loop go out with one flush;
 * what waits for that turn is bounded where producers pause when they are told to. All state
 * belongs to the event loop, but for the queue of parts, which any thread adds to.
 */
final class ServerConnection extends ChannelDuplexHandler {
    private static final Logger LOG = LogManager.getLogger(ServerConnection.class);

    private final HttpServerSettings mSettings;
    private final HttpHandler mHandler;
    private final Clock mClock;
    private final ServerStatus mStatus;
    private final ConnectionDeadline mDeadline;
    private final AnswerQueue mParts = new AnswerQueue();
    private final AtomicBoolean mSendScheduled = new AtomicBoolean();
    private final ArrayDeque<HttpObject> mWaiting = new ArrayDeque<>();
    private volatile Channel mChannel;
    private String mRemoteAddress = "";
    private Optional<HttpRequest> mHead = Optional.empty();
    private BodyBuffer mBody;
    private Optional<ServerExchange> mAnswering = Optional.empty();
    private boolean mKeepAlive;
    private boolean mChunked;
    private boolean mClosing;

    ServerConnection(
            HttpServerSettings settings, Clock clock, HttpHandler handler, ServerStatus status) {
        mSettings = settings;
        mClock = clock;
        mHandler = handler;
        mStatus = status;
        mDeadline = new ConnectionDeadline(settings.timeouts());
    }

    /** Returns a handler for the place before the codec, which sees a head's first byte. */
    ChannelInboundHandlerAdapter byteListener() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                mDeadline.bytesArrived(mClock.nowMs());
                context.fireChannelRead(message);
            }
        };
    }

    /**
     * Returns whether the event loop and the caller take bytes as fast as they are put; on any
     * thread. Where not, the exchange hears of it when they have caught up.
     */
    boolean writable() {
        Channel channel = mChannel;
        return channel != null && mParts.hasRoom() && channel.isWritable();
    }

    /** Takes a part of an answer; on any thread. */
    void put(AnswerPart part) {
        mParts.add(part);
        if (mSendScheduled.compareAndSet(false, true)) {
            try {
                mChannel.eventLoop().execute(this::sendParts);
            } catch (RejectedExecutionException e) {
                LOG.debug("answer dropped: the event loop is closed", e);
            }
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mRemoteAddress = String.valueOf(context.channel().remoteAddress());
        int open = mStatus.connectionOpened();
        mDeadline.idle(mClock.nowMs());
        long tickMs = mDeadline.tickMs();
        Future<?> tick =
                context.executor()
                        .scheduleWithFixedDelay(
                                this::checkDeadline, tickMs, tickMs, TimeUnit.MILLISECONDS);
        context.channel().closeFuture().addListener(closed -> tick.cancel(false));
        if (open > mSettings.limits().maxConnections()) {
            reject(Failure.of(ErrorKind.OVERLOADED, "too many connections; use another address"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosing = true;
        mStatus.connectionClosed();
        releaseWaiting();
        if (mHead.isPresent() || mAnswering.isPresent()) {
            mStatus.requestAnswered();
        }
        mHead = Optional.empty();
        Optional<ServerExchange> exchange = mAnswering;
        mAnswering = Optional.empty();
        exchange.ifPresent(ServerExchange::connectionClosed);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (mAnswering.isPresent() && !mClosing) {
            mWaiting.add(part);
            context.channel().config().setAutoRead(false);
            return;
        }
        take(part);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            mParts.takeRefused();
            mAnswering.ifPresent(ServerExchange::becameWritable);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Level level = cause instanceof IOException ? Level.DEBUG : Level.ERROR;
        LOG.log(level, "connection of {} failed", mRemoteAddress, cause);
        Channels.close(mChannel);
    }

    private void take(HttpObject part) {
        try {
            if (mClosing) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                reject(RequestCheck.undecodable(part.decoderResult().cause()));
                return;
            }
            if (part instanceof HttpRequest request) {
                startRequest(request);
            }
            if (part instanceof HttpContent content && !mClosing) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void startRequest(HttpRequest request) {
        Optional<Failure> fault = RequestCheck.head(request, mSettings.limits());
        if (fault.isPresent()) {
            reject(fault.get());
            return;
        }
        mStatus.requestArrived();
        mHead = Optional.of(request);
        mBody =
                new BodyBuffer(
                        mSettings.limits().maxBodyBytes(), HttpUtil.getContentLength(request, 0L));
        mDeadline.readingBody(mClock.nowMs());
        if (HttpUtil.is100ContinueExpected(request)) {
            Channels.send(
                    mChannel,
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void addContent(HttpContent content) {
        if (!mBody.add(content.content())) {
            reject(RequestCheck.bodyTooLarge(mSettings.limits().maxBodyBytes()));
            return;
        }
        if (content instanceof LastHttpContent) {
            dispatch(mHead.orElseThrow());
        }
    }

    private void dispatch(HttpRequest request) {
        ServerExchange exchange;
        try {
            exchange = new ServerExchange(this, request, mBody.take(), mRemoteAddress);
        } catch (IllegalArgumentException e) {
            reject(Failure.of(ErrorKind.MALFORMED_REQUEST, "the target can't be decoded"));
            return;
        }
        long nowMs = mClock.nowMs();
        mHead = Optional.empty();
        mAnswering = Optional.of(exchange);
        mKeepAlive = HttpUtil.isKeepAlive(request);
        mChunked = request.protocolVersion().isKeepAliveDefault();
        mDeadline.answering(nowMs);
        try {
            mHandler.handle(nowMs, exchange);
        } catch (RuntimeException e) {
            LOG.error("the handler failed on {} {}", exchange.method(), exchange.path(), e);
            ErrorAnswer answer =
                    ErrorAnswer.of(
                            Failure.of(ErrorKind.INTERNAL, "the request met an internal fault"));
            exchange.respond(answer.status(), answer.headers(), answer.body());
        }
    }

    /** Answers an input that is not taken, and ends the connection. */
    private void reject(Failure failure) {
        if (mHead.isPresent()) {
            mHead = Optional.empty();
            mStatus.requestAnswered();
        }
        mClosing = true;
        releaseWaiting();
        mDeadline.lingering(mClock.nowMs());
        ErrorAnswer answer = ErrorAnswer.of(failure);
        AnswerPart part =
                new AnswerPart.Whole(null, answer.status(), answer.headers(), answer.body());
        mChannel.writeAndFlush(part.encode(false, true)).addListener(sent -> linger());
    }

    private void sendParts() {
        mSendScheduled.set(false);
        boolean any = false;
        for (var part = mParts.poll(); part.isPresent(); part = mParts.poll()) {
            if (mAnswering.isPresent() && mAnswering.get() == part.get().exchange()) {
                send(part.get());
                any = true;
            }
        }
        if (any) {
            mChannel.flush();
        }
        if (mChannel.isWritable() && mParts.takeRefused()) {
            mAnswering.ifPresent(ServerExchange::becameWritable);
        }
    }

    private void send(AnswerPart part) {
        if (part instanceof AnswerPart.Abort) {
            breakOff();
            return;
        }
        boolean first = part instanceof AnswerPart.Whole || part instanceof AnswerPart.Head;
        if (first) {
            boolean streamed = part instanceof AnswerPart.Head;
            boolean closes = mStatus.draining() || part.closes();
            mKeepAlive = mKeepAlive && !closes && (mChunked || !streamed);
        }
        HttpObject encoded;
        try {
            encoded = part.encode(mKeepAlive, mChunked);
        } catch (IllegalArgumentException e) {
            LOG.error("an answer has a header that can't be sent", e);
            Channels.close(mChannel);
            return;
        }
        var written = mChannel.write(encoded);
        if (part.last()) {
            written.addListener(sent -> answered(sent.isSuccess()));
        }
    }

    private void breakOff() {
        if (!mChunked && mChannel instanceof DuplexChannel) {
            // Without chunks the end of the connection is the end of the answer, unless it is
            // reset.
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        mChannel.flush();
        Channels.close(mChannel);
    }

    private void answered(boolean sent) {
        if (mAnswering.isEmpty()) {
            return;
        }
        mAnswering = Optional.empty();
        mStatus.requestAnswered();
        if (!sent) {
            Channels.close(mChannel);
            return;
        }
        if (!mKeepAlive || mStatus.draining()) {
            mClosing = true;
            releaseWaiting();
            mDeadline.lingering(mClock.nowMs());
            linger();
            return;
        }
        mDeadline.idle(mClock.nowMs());
        takeWaiting();
    }

    private void takeWaiting() {
        while (mAnswering.isEmpty() && !mClosing && !mWaiting.isEmpty()) {
            mDeadline.bytesArrived(mClock.nowMs());
            take(mWaiting.poll());
        }
        if (mWaiting.isEmpty() && !mChannel.config().isAutoRead()) {
            mChannel.config().setAutoRead(true);
        }
    }

    /**
     * Closes this side and discards input for a while, so that the answer is not lost to a reset.
     */
    private void linger() {
        if (mChannel instanceof DuplexChannel duplex) {
            mChannel.config().setAutoRead(true);
            Channels.shutdownOutput(duplex);
        } else {
            Channels.close(mChannel);
        }
    }

    private void releaseWaiting() {
        mWaiting.forEach(ReferenceCountUtil::release);
        mWaiting.clear();
    }

    private void checkDeadline() {
        Optional<Failure> overdue =
                mDeadline.check(
                        mClock.nowMs(), mChannel.isWritable(), mChannel.bytesBeforeWritable());
        if (overdue.isEmpty()) {
            return;
        }
        if (mDeadline.answerable()) {
            reject(overdue.get());
        } else {
            Channels.close(mChannel);
        }
    }
}
