package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;

import java.util.Optional;

/**
 * One connection to an upstream, with one request at a time.
 *
 * <p>Invariants: bytes that come while no request is in progress close the connection, since they
 * belong to none; a connection is used again only where the last answer was whole and framed, said
 * nothing else, and the whole request had been written. Confined to the channel's event loop.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** For how long an idle connection is trusted where the upstream states no time. */
    private static final long UNSTATED_IDLE_MS = 400;

    private static final String KEEP_ALIVE = "keep-alive";
    private static final String TIMEOUT = "timeout=";

    private final UpstreamPool mPool;
    private final String mAddress;
    private final Clock mClock;
    private Channel mChannel;
    private Optional<UpstreamListener> mListener = Optional.empty();
    private boolean mTaken;
    private boolean mSkipping;
    private boolean mReusable;
    private boolean mRequestWritten;
    private boolean mFaulty;
    private boolean mClosed;
    private long mIdleLimitMs = UNSTATED_IDLE_MS;
    private long mIdleSinceMs;

    UpstreamConnection(UpstreamPool pool, String address, Clock clock) {
        mPool = pool;
        mAddress = address;
        mClock = clock;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /** Sends the head of a request whose answer goes to a listener. */
    public void start(HttpRequest head, UpstreamListener listener) {
        mListener = Optional.of(listener);
        mTaken = false;
        mSkipping = false;
        mRequestWritten = false;
        mReusable = false;
        var unused = mChannel.write(head, mChannel.voidPromise());
    }

    /** Sends a part of the request's body, which is released. */
    public void sendPart(ByteBuf part) {
        var unused = mChannel.write(new DefaultHttpContent(part), mChannel.voidPromise());
    }

    /** Ends the request's body. */
    public void sendEnd() {
        var unused =
                mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(written -> mRequestWritten = written.isSuccess());
    }

    /** Sends what was written on its way. */
    public void flush() {
        mChannel.flush();
    }

    /** Returns whether the upstream takes more without it piling up here. */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /** Stops or resumes reading the answer. */
    public void setReading(boolean on) {
        if (mChannel.config().isAutoRead() != on) {
            mChannel.config().setAutoRead(on);
        }
    }

    /** Gives the request up: the upstream sees the connection close, and nothing more is heard. */
    public void cancel() {
        mListener = Optional.empty();
        close();
    }

    /** Keeps a connection that was just opened for a later request. */
    void returnToPool() {
        mIdleSinceMs = mClock.nowMs();
        mPool.onIdle(this);
    }

    /** Returns whether it can take another request. */
    boolean isFresh(long nowMs, long maxIdleMs) {
        long idleMs = nowMs - mIdleSinceMs;
        return mChannel.isActive() && !mClosed && idleMs < Math.min(maxIdleMs, mIdleLimitMs);
    }

    /** Returns whether it has been idle for longer than the upstream keeps it. */
    boolean isExpired(long nowMs) {
        return nowMs - mIdleSinceMs >= mIdleLimitMs;
    }

    String address() {
        return mAddress;
    }

    void close() {
        mClosed = true;
        Channels.close(mChannel);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject object = (HttpObject) message;
        if (mListener.isEmpty() || mClosed) {
            ReferenceCountUtil.release(message);
            close();
            return;
        }
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            broken("the upstream sent what is no answer");
            return;
        }
        if (object instanceof HttpResponse head) {
            takeHead(head);
        }
        if (object instanceof HttpContent content) {
            takeContent(content);
        }
    }

    private void takeHead(HttpResponse head) {
        int status = head.status().code();
        boolean informational = status >= 100 && status < 200;
        mSkipping = informational || !mListener.orElseThrow().onHead(mClock.nowMs(), head);
        if (mSkipping) {
            return;
        }
        mTaken = true;
        boolean framed =
                HttpUtil.isContentLengthSet(head)
                        || HttpUtil.isTransferEncodingChunked(head)
                        || status == 204
                        || status == 304;
        mReusable = framed && HttpUtil.isKeepAlive(head);
        mIdleLimitMs = idleLimit(head);
    }

    /** Four fifths of what the upstream states, so that a request does not cross its close. */
    private static long idleLimit(HttpResponse head) {
        String stated = head.headers().get(KEEP_ALIVE);
        int at = stated == null ? -1 : stated.indexOf(TIMEOUT);
        if (at < 0) {
            return UNSTATED_IDLE_MS;
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

    private void takeContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mSkipping || !mTaken || mListener.isEmpty()) {
            content.release();
            return;
        }
        UpstreamListener listener = mListener.get();
        if (content.content().isReadable()) {
            listener.onPart(mClock.nowMs(), content.content());
        } else {
            content.release();
        }
        if (last && mListener.isPresent() && !mFaulty) {
            ended(listener);
        }
    }

    private void ended(UpstreamListener listener) {
        mListener = Optional.empty();
        if (mReusable && mRequestWritten) {
            returnToPool();
        } else {
            close();
        }
        listener.onEnd(mClock.nowMs());
    }

    private void broken(String reason) {
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
        broken("the upstream closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The decoder ends an unframed answer when its connection closes, also after a reset.
        mFaulty = true;
        mPool.onFault(cause);
        broken("the connection to the upstream broke: " + cause.getMessage());
    }
}
