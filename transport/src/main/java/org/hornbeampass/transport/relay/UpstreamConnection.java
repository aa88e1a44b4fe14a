package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.hornbeampass.transport.AnswerDecoder;
import org.hornbeampass.transport.AnswerInputBound;
import org.hornbeampass.transport.BoundedInput;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.ReceiveTimeout;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Sends requests to an upstream over one connection, one request at a time.
 *
 * <p>Invariants: bytes that arrive while no request is in progress close the connection, since they
 * belong to no request. An answer without framing is complete only if the upstream ended its output
 * in order and its request was written, or if it went on with another answer to a request that was
 * sent on this connection; a connection that fails or is closed by this VM breaks it. A connection
 * is reused only if the last answer was complete, had explicit framing (a content length, chunked
 * encoding or a status without a body) and did not ask to close the connection, if nothing came
 * before or after it that its request did not ask for, and if the whole request had been written.
 * Confined to the channel's event loop.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter
        implements BoundedInput.Connection, WriteBacklog.Owner {
    /** How long an idle connection may be reused if the upstream states no timeout. */
    private static final long DEFAULT_IDLE_LIMIT_MS = 400;

    /** The size from which an upload counts as long. */
    private static final long LONG_UPLOAD_BYTES = 256 << 10;

    /**
     * The most bytes of a long upload that the system holds for an upstream that takes nothing.
     * What the system holds counts as written; without a bound it may be the rest of any upload.
     */
    private static final int LONG_UPLOAD_SEND_BUFFER_BYTES = 128 << 10;

    private static final long NOT_PAUSED = -1;
    private static final String KEEP_ALIVE = "keep-alive";
    private static final String TIMEOUT = "timeout=";

    private final UpstreamPool mPool;
    private final String mAddress;
    private final Clock mClock;
    private final AnswerInputBound mBound;
    private Channel mChannel;
    private Optional<UpstreamListener> mListener = Optional.empty();
    private Optional<AnswerIds> mIds = Optional.empty();
    private final SentRequests mSent = new SentRequests();
    private Optional<FollowingAnswerScanner> mFollowing = Optional.empty();
    private HttpMethod mMethod = HttpMethod.GET;
    private AnswerFraming mFraming = AnswerFraming.NO_BODY;
    private boolean mHeadAccepted;
    private boolean mSkippingAnswer;
    private boolean mUnrequestedAnswers;
    private boolean mReusable;
    private boolean mRequestWritten;
    private boolean mAwaitingEndOfInput;
    private boolean mEndedUnframed;
    private long mUploadBytes;
    private boolean mClosed;
    private boolean mHeldUp;
    private long mPausedSinceMs = NOT_PAUSED;
    private long mLongestPauseMs;
    private long mIdleLimitMs = DEFAULT_IDLE_LIMIT_MS;
    private long mIdleSinceMs;

    UpstreamConnection(UpstreamPool pool, String address, Clock clock) {
        mPool = pool;
        mAddress = address;
        mClock = clock;
        mBound = new AnswerInputBound(pool.limits());
    }

    /** Returns the bound on what is read of an answer outside its body. */
    AnswerInputBound bound() {
        return mBound;
    }

    /**
     * Returns the method of the request that an answer belongs to. One without an id, or with the
     * id of a request that this connection did not carry, is taken for the answer that is awaited,
     * or for one with a body.
     */
    HttpMethod methodOf(HttpResponse head) {
        return mIds.flatMap(ids -> ids.idOf(head))
                .map(id -> mSent.method(id).orElse(HttpMethod.GET))
                .orElse(mMethod);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /**
     * Writes the head of a request, without flushing it.
     *
     * @param head the head
     * @param ids relates answers to the request
     * @param listener receives the answer
     */
    public void start(HttpRequest head, AnswerIds ids, UpstreamListener listener) {
        mListener = Optional.of(listener);
        mIds = Optional.of(ids);
        mSent.add(ids.requestId(), head.method());
        mMethod = head.method();
        mHeadAccepted = false;
        mSkippingAnswer = false;
        mUnrequestedAnswers = false;
        mAwaitingEndOfInput = false;
        mEndedUnframed = false;
        mUploadBytes = 0;
        mRequestWritten = false;
        mReusable = false;
        mLongestPauseMs = 0;
        mBound.onRequest();
        var unused = mChannel.write(head, mChannel.voidPromise());
    }

    /** Writes a part of the request's body and releases it. */
    public void sendPart(ByteBuf part) {
        countUpload(part.readableBytes());
        var unused = mChannel.write(new DefaultHttpContent(part), mChannel.voidPromise());
    }

    /** Counts bytes of an upload, and bounds what the system holds of it once it is long. */
    private void countUpload(int bytes) {
        boolean wasLong = mUploadBytes > LONG_UPLOAD_BYTES;
        mUploadBytes += bytes;
        boolean becomesLong = !wasLong && mUploadBytes > LONG_UPLOAD_BYTES;
        if (becomesLong && mChannel.isOpen()) {
            mChannel.config().setOption(ChannelOption.SO_SNDBUF, LONG_UPLOAD_SEND_BUFFER_BYTES);
        }
    }

    /** Ends the request's body and flushes it. */
    public void sendEnd() {
        var unused =
                mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(
                                written -> {
                                    mRequestWritten = written.isSuccess();
                                    endUnframedIfWritten();
                                });
    }

    /** Flushes everything that was written to the socket. */
    public void flush() {
        mChannel.flush();
    }

    /** Returns whether the write buffer is below its mark, and below the bound of the VM. */
    public boolean isWritable() {
        return mChannel.isWritable() && !mHeldUp;
    }

    @Override
    public void setHeldUp(boolean heldUp) {
        mHeldUp = heldUp;
        mListener.ifPresent(l -> l.onUpstreamWritable(mClock.nowMs()));
    }

    @Override
    public void closeSlow(long nowMs, long heldBytes, long stalledMs) {
        Optional<UpstreamListener> listener = mListener;
        mListener = Optional.empty();
        close();
        String reason =
                "the upstream took nothing for "
                        + stalledMs
                        + " ms while buffer_bytes were held, "
                        + heldBytes
                        + " of them for it";
        listener.ifPresent(l -> l.onClosedSlow(nowMs, reason));
    }

    /** Stops or resumes reading the answer from the socket. */
    public void setReading(boolean on) {
        if (mChannel.config().isAutoRead() == on) {
            return;
        }
        long nowMs = mClock.nowMs();
        mLongestPauseMs = longestPauseMs(nowMs);
        mPausedSinceMs = on ? NOT_PAUSED : nowMs;
        mChannel.config().setAutoRead(on);
    }

    /** Returns the longest time for which the answer was not read, in milliseconds. */
    public long longestPauseMs(long nowMs) {
        long presentMs = mPausedSinceMs == NOT_PAUSED ? 0 : nowMs - mPausedSinceMs;
        return Math.max(mLongestPauseMs, presentMs);
    }

    /** Cancels the request by closing the connection; the listener is not called any more. */
    public void cancel() {
        mListener = Optional.empty();
        close();
    }

    /** Returns the connection to the pool, to be used for a later request. */
    void returnToPool() {
        mIdleSinceMs = mClock.nowMs();
        mPool.onIdle(this);
    }

    /**
     * Keeps the connection unused for a time in milliseconds, then closes it; the listener receives
     * whether it stayed open.
     */
    void hold(int ms, Consumer<ProbeResult> done) {
        ReceiveTimeout.Timers timers = ReceiveTimeout.Timers.of(mChannel.eventLoop(), mClock);
        ReceiveTimeout end =
                ReceiveTimeout.start(timers, mClock.nowMs(), ms, nowMs -> endHold(done));
        mChannel.closeFuture()
                .addListener(
                        closed -> {
                            if (end.cancel()) {
                                done.accept(ProbeResult.DROPPED);
                            }
                        });
    }

    private void endHold(Consumer<ProbeResult> done) {
        close();
        done.accept(ProbeResult.OPEN);
    }

    /** Returns whether it is open and was idle for less than a given and its own limit. */
    boolean isFresh(long nowMs, long maxIdleMs) {
        long idleMs = nowMs - mIdleSinceMs;
        return mChannel.isActive() && !mClosed && idleMs < Math.min(maxIdleMs, mIdleLimitMs);
    }

    /** Returns whether the connection has been idle for as long as it may be reused. */
    boolean isExpired(long nowMs) {
        return nowMs - mIdleSinceMs >= mIdleLimitMs;
    }

    String address() {
        return mAddress;
    }

    void close() {
        mClosed = true;
        mFollowing.ifPresent(FollowingAnswerScanner::release);
        Channels.close(mChannel);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject object = (HttpObject) message;
        if (mListener.isEmpty() || mClosed) {
            ReferenceCountUtil.release(message);
            closeUnrequested(UnrequestedInput.AFTER_ANSWER);
            return;
        }
        boolean joined = object instanceof HttpResponse r && AnswerDecoder.joinsTwoHeads(r);
        if (joined || object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            onConnectionBroken("the upstream sent an invalid HTTP response");
            return;
        }
        if (object instanceof HttpResponse head) {
            handleHead(head);
        }
        if (object instanceof HttpContent content) {
            handleContent(content);
        }
    }

    @Override
    public boolean isAnswerExpected() {
        return mListener.isPresent() && !mClosed;
    }

    @Override
    public void onUnexpectedInput() {
        closeUnrequested(UnrequestedInput.IDLE);
    }

    private void closeUnrequested(UnrequestedInput where) {
        if (!mClosed) {
            mPool.onUnrequestedInput(mClock.nowMs(), mAddress, where);
        }
        close();
    }

    @Override
    public void onBoundExceeded(String reason) {
        onConnectionBroken(reason);
    }

    private void handleHead(HttpResponse head) {
        int status = head.status().code();
        boolean informational = status >= 100 && status < 200;
        long nowMs = mClock.nowMs();
        mSkippingAnswer = informational || !mListener.orElseThrow().onHead(nowMs, head);
        if (mSkippingAnswer) {
            mBound.onSkippedAnswer();
            if (!informational) {
                mUnrequestedAnswers = true;
                AnswerFraming framing = AnswerFraming.of(methodOf(head), head);
                mIds.orElseThrow()
                        .onUnrequested(nowMs, head, framing, UnrequestedInput.BEFORE_ANSWER);
            }
            return;
        }
        mBound.onHead();
        mHeadAccepted = true;
        mFraming = AnswerFraming.of(mMethod, head);
        mFollowing = mFraming.isExplicit() ? Optional.empty() : Optional.of(newScanner());
        mReusable = mFraming.isExplicit() && HttpUtil.isKeepAlive(head);
        mIdleLimitMs = parseIdleLimitMs(head);
    }

    private FollowingAnswerScanner newScanner() {
        AnswerIds ids = mIds.orElseThrow();
        return new FollowingAnswerScanner(
                mPool.limits().headBytes(),
                head -> ids.idOf(head).flatMap(mSent::method).isPresent());
    }

    /**
     * Returns four fifths of the idle timeout that the upstream states, in milliseconds, so that no
     * request is sent just as the upstream closes the connection.
     */
    private static long parseIdleLimitMs(HttpResponse head) {
        String stated = head.headers().get(KEEP_ALIVE);
        int at = stated == null ? -1 : stated.indexOf(TIMEOUT);
        if (at < 0) {
            return DEFAULT_IDLE_LIMIT_MS;
        }
        long seconds = 0;
        for (int i = at + TIMEOUT.length(); i < stated.length(); i++) {
            char c = stated.charAt(i);
            if (c < '0' || c > '9' || seconds > 3_600) {
                break;
            }
            seconds = seconds * 10 + (c - '0');
        }
        return seconds * 800;
    }

    private void handleContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mSkippingAnswer || !mHeadAccepted || mListener.isEmpty()) {
            content.release();
            return;
        }
        mBound.onBody(content.content().readableBytes());
        if (mFollowing.isPresent()) {
            handleUnframed(mFollowing.get(), content.content(), last);
            return;
        }
        passOn(content.content());
        if (last) {
            mListener.ifPresent(this::onAnswerEnded);
        }
    }

    private void handleUnframed(FollowingAnswerScanner following, ByteBuf part, boolean last) {
        passOn(following.append(part));
        if (mListener.isPresent() && following.found().isPresent()) {
            logFollowingAnswer(following.found().get());
            mListener.ifPresent(this::onAnswerEnded);
            return;
        }
        if (last) {
            passOn(following.end());
            following.found().ifPresent(this::logFollowingAnswer);
            // The decoder reports this end for each end of the connection, whatever its cause.
            mAwaitingEndOfInput = true;
        }
    }

    private void logFollowingAnswer(HttpResponse head) {
        mIds.orElseThrow()
                .onUnrequested(
                        mClock.nowMs(),
                        head,
                        AnswerFraming.of(methodOf(head), head),
                        UnrequestedInput.IN_UNFRAMED_ANSWER);
    }

    private void passOn(ByteBuf part) {
        if (part.isReadable() && mListener.isPresent()) {
            mListener.get().onPart(mClock.nowMs(), part);
        } else {
            part.release();
        }
    }

    /** Handles the end of the upstream's output, after the decoder has. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            context.fireUserEventTriggered(event);
            return;
        }
        if (!mAwaitingEndOfInput || mListener.isEmpty()) {
            onConnectionBroken("the upstream closed the connection");
            return;
        }
        mEndedUnframed = true;
        endUnframedIfWritten();
    }

    /**
     * Ends an answer without framing once its request is written: an upstream may answer early and
     * read on, but one that closes its connection meanwhile can't be told from one that was cut.
     */
    private void endUnframedIfWritten() {
        if (mEndedUnframed && mRequestWritten) {
            mListener.ifPresent(this::onAnswerEnded);
        }
    }

    private void onAnswerEnded(UpstreamListener listener) {
        mListener = Optional.empty();
        boolean reusable = mReusable && mRequestWritten && !mUnrequestedAnswers;
        if (!reusable) {
            close();
        } else if (mChannel.pipeline().get(AnswerDecoder.class).holdsInput()) {
            closeUnrequested(UnrequestedInput.AFTER_ANSWER);
        } else {
            // Its end may have been decoded after the reading was stopped.
            setReading(true);
            returnToPool();
        }
        listener.onEnd(mClock.nowMs());
    }

    private void onConnectionBroken(String reason) {
        Optional<UpstreamListener> listener = mListener;
        mListener = Optional.empty();
        close();
        listener.ifPresent(l -> l.onBroken(mClock.nowMs(), reason));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mListener.ifPresent(l -> l.onReadComplete(mClock.nowMs()));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mChannel.isWritable()) {
            mListener.ifPresent(l -> l.onUpstreamWritable(mClock.nowMs()));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.onClosed(this);
        onConnectionBroken("the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mPool.onFault(cause);
        onConnectionBroken("the connection to the upstream failed: " + cause.getMessage());
    }
}
