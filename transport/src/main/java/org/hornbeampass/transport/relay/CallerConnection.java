package org.hornbeampass.transport.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One caller's connection: its requests one after another, each answered before the next is taken.
 *
 * <p>Invariants: at most one request is in the handler's hands; an answer that ends early closes
 * the connection, so that it can't look whole; a connection on which part of a body is still to
 * come is closed after its answer. Confined to the channel's event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests that were sent ahead and wait; more than this stops reading. */
    private static final int MAX_QUEUED = 64;

    /** A rest of a body that is read and dropped, so that the connection can be kept. */
    private static final long MAX_DROPPED_BYTES = 128 << 10;

    /**
     * How long ago the connection may have been read when a request is handed over, in
     * milliseconds. Where more requests were read at once than are handled in that time, as on a
     * cold VM, the connection is read again first: its caller may have left, and a request is to
     * reach no upstream half a second after that.
     */
    private static final long FRESH_MS = 100;

    private final CallerServer mServer;
    private final Clock mClock;
    private final ArrayDeque<HttpObject> mQueued = new ArrayDeque<>();
    private Channel mChannel;
    private Optional<CallerListener> mListener = Optional.empty();
    private boolean mBodyWhole = true;
    private boolean mAnswered;
    private boolean mSmallBody;
    private boolean mKeepAlive = true;
    private boolean mHttp10;
    private boolean mGone;
    private boolean mDelivering;
    private boolean mReading;
    private long mReadMs;
    private long mIdleSinceMs;
    private long mHeadSinceMs = -1;

    CallerConnection(CallerServer server, Clock clock) {
        mServer = server;
        mClock = clock;
        mIdleSinceMs = clock.nowMs();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /** Notes that bytes have arrived, before they are decoded. */
    void onBytes() {
        if (mListener.isEmpty() && mHeadSinceMs < 0) {
            mHeadSinceMs = mClock.nowMs();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mGone) {
            ReferenceCountUtil.release(message); // Decoded after the connection was given up.
            return;
        }
        mQueued.add((HttpObject) message);
        mReading |= message instanceof HttpRequest;
        deliver();
    }

    /**
     * Hands over what was read, once the end of the connection has been noticed where it had come:
     * the channel is closed right after this, and before the tasks of the loop.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!mReading) {
            return;
        }
        mReadMs = mClock.nowMs();
        mChannel.eventLoop().execute(this::deliverRead);
    }

    private void deliverRead() {
        if (!mChannel.isActive()) {
            return;
        }
        boolean old = mClock.nowMs() - mReadMs > FRESH_MS;
        if (old) {
            mReadMs = mClock.nowMs();
            // Due at once, and run after the next look at the sockets.
            var unused = mChannel.eventLoop().schedule(this::deliverRead, 0, TimeUnit.MILLISECONDS);
            return;
        }
        mReading = false;
        deliver();
    }

    private void deliver() {
        if (mDelivering || mReading) {
            return;
        }
        mDelivering = true;
        while (!mQueued.isEmpty() && !mGone) {
            boolean isHead = mQueued.peek() instanceof HttpRequest;
            if (isHead && mListener.isPresent()) {
                break;
            }
            take(mQueued.poll());
        }
        mDelivering = false;
        if (mQueued.size() > MAX_QUEUED) {
            mChannel.config().setAutoRead(false);
        }
    }

    private void take(HttpObject message) {
        long nowMs = mClock.nowMs();
        if (message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            undecodable(nowMs, message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest head) {
            takeHead(nowMs, head);
        }
        if (message instanceof HttpContent content) {
            takeContent(nowMs, content);
        }
    }

    private void takeHead(long nowMs, HttpRequest head) {
        mHeadSinceMs = -1;
        mHttp10 = !head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        mKeepAlive = HttpUtil.isKeepAlive(head) && !mHttp10;
        mBodyWhole = false;
        mAnswered = false;
        mSmallBody = HttpUtil.getContentLength(head, Long.MAX_VALUE) <= MAX_DROPPED_BYTES;
        Optional<Failure> fault = HeadValidator.validate(head, mServer.limits());
        if (fault.isPresent()) {
            mKeepAlive = false;
            mListener = Optional.of(CallerListener.IGNORING);
            fail(fault.get());
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            var unused =
                    mChannel.writeAndFlush(
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        mListener = Optional.of(CallerListener.IGNORING);
        CallerListener listener = mServer.handler().onRequest(nowMs, this, head);
        if (!mAnswered && !mGone) {
            mListener = Optional.of(listener);
        }
    }

    private void takeContent(long nowMs, HttpContent content) {
        if (mListener.isEmpty()) {
            content.release();
            return;
        }
        CallerListener listener = mListener.get();
        if (content.content().isReadable()) {
            listener.onBody(nowMs, content.content());
        } else {
            content.release();
        }
        if (content instanceof LastHttpContent) {
            mBodyWhole = true;
            if (mAnswered) {
                mListener = Optional.empty();
            } else if (mListener.isPresent()) {
                listener.onBodyEnd(nowMs);
            }
        }
    }

    private void undecodable(long nowMs, Throwable cause) {
        mKeepAlive = false;
        if (mListener.isPresent()) {
            leave(nowMs);
            Channels.close(mChannel);
            return;
        }
        mListener = Optional.of(CallerListener.IGNORING);
        mBodyWhole = false;
        fail(HeadValidator.undecodable(cause));
    }

    /** Writes the head of an answer whose body follows. */
    public void sendHead(HttpResponse head) {
        if (mGone) {
            return;
        }
        boolean hasBody = !HttpUtil.isContentLengthSet(head) && mayHaveBody(head);
        if (hasBody && mHttp10) {
            mKeepAlive = false;
        } else if (hasBody) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        if (!keepsAlive()) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var unused = mChannel.write(head, mChannel.voidPromise());
    }

    private static boolean mayHaveBody(HttpResponse head) {
        int status = head.status().code();
        return status >= 200 && status != 204 && status != 304;
    }

    private boolean keepsAlive() {
        return mKeepAlive && (mBodyWhole || mSmallBody) && !mServer.isDraining();
    }

    /** Writes a part of the body, which is released. */
    public void sendPart(HttpContent part) {
        if (mGone) {
            part.release();
            return;
        }
        var unused = mChannel.write(part, mChannel.voidPromise());
    }

    /** Sends what was written on its way. */
    public void flush() {
        mChannel.flush();
    }

    /** Ends the answer properly; the next request is taken. */
    public void sendEnd() {
        if (mGone) {
            return;
        }
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Answers with a failure; only before {@link #sendHead}. */
    public void fail(Failure failure) {
        ErrorAnswer answer = ErrorAnswer.of(failure);
        Map<String, String> headers = new HashMap<>(answer.headers());
        failure.retryAfterMs()
                .ifPresent(
                        ms ->
                                headers.put(
                                        "retry-after",
                                        String.format(
                                                Locale.ROOT, "%d.%03d", ms / 1000, ms % 1000)));
        respond(answer.status(), headers, answer.body());
    }

    /** Answers whole; only before {@link #sendHead}. */
    public void respond(int status, Map<String, String> headers, byte[] body) {
        if (mGone) {
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        headers.forEach(response.headers()::set);
        HttpUtil.setContentLength(response, body.length);
        if (!keepsAlive()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        finish(response);
    }

    private void finish(HttpObject last) {
        boolean close = !keepsAlive();
        mAnswered = true;
        mListener = mBodyWhole ? Optional.empty() : Optional.of(CallerListener.IGNORING);
        mIdleSinceMs = mClock.nowMs();
        var written = mChannel.writeAndFlush(last);
        if (close) {
            mGone = true;
            mListener = Optional.empty();
            dropQueued();
            written.addListener(done -> Channels.close(mChannel));
            return;
        }
        mChannel.config().setAutoRead(true);
        deliver();
    }

    /** Closes the connection within or before an answer, so that the answer can't look whole. */
    public void abort() {
        mGone = true;
        mListener = Optional.empty();
        dropQueued();
        Channels.close(mChannel);
    }

    /** Returns whether the caller takes more without it piling up here. */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /** Stops or resumes reading the request's body. */
    public void setReading(boolean on) {
        mChannel.config().setAutoRead(on);
    }

    /** Returns whether a request is in progress, or was read and is to be handed over. */
    boolean isBusy() {
        return mListener.isPresent() || mReading;
    }

    /** Closes the connection where nothing is in progress. */
    void closeIfIdle() {
        if (!isBusy() && mQueued.isEmpty()) {
            abort();
        }
    }

    /** Closes the connection where the caller has been idle, or slow with a head, for too long. */
    void closeIfSlow(long nowMs) {
        if (isBusy()) {
            return;
        }
        if (mHeadSinceMs >= 0 && nowMs - mHeadSinceMs > mServer.limits().headTimeoutMs()) {
            mListener = Optional.of(CallerListener.IGNORING);
            mBodyWhole = false;
            fail(HeadValidator.slowHead());
            return;
        }
        if (mHeadSinceMs < 0 && nowMs - mIdleSinceMs > mServer.limits().idleTimeoutMs()) {
            abort();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mChannel.isWritable() && mListener.isPresent()) {
            mListener.get().onCallerWritable(mClock.nowMs());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.onClosed(this);
        leave(mClock.nowMs());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mServer.onFault(cause);
        leave(mClock.nowMs());
        Channels.close(mChannel);
    }

    private void leave(long nowMs) {
        if (mGone) {
            return;
        }
        mGone = true;
        dropQueued();
        Optional<CallerListener> listener = mListener;
        mListener = Optional.empty();
        listener.ifPresent(l -> l.onCallerGone(nowMs));
    }

    private void dropQueued() {
        while (!mQueued.isEmpty()) {
            ReferenceCountUtil.release(mQueued.poll());
        }
    }
}
