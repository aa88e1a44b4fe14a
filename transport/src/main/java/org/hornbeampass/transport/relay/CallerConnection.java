package org.hornbeampass.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.hornbeampass.protocol.http.ErrorAnswer;
import org.hornbeampass.state.Failure;
import org.hornbeampass.transport.Channels;
import org.hornbeampass.transport.Clock;

import java.util.Map;
import java.util.Optional;

/**
 * Handles the connection of one caller: processes its requests one after another and answers each
 * before it hands over the next.
 *
 * <p>Invariants: the handler processes at most one request at a time. An answer that ends early
 * closes the connection once the whole answers before it are sent, and resets it where nothing but
 * its close ends the answer, so that the caller can't mistake it for a complete one. If part of a
 * large request body is still to be received when the answer ends, the connection is closed after
 * the answer. Confined to the channel's event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter
        implements WriteBacklog.Owner {
    private final CallerServer mServer;
    private final Clock mClock;
    private final ReceivedMessages mQueued;
    private Channel mChannel;
    private UnsentAnswers mUnsent;
    private RepeatedRead mRepeatedRead;
    private Optional<HttpRequest> mHead = Optional.empty();
    private boolean mHeldUp;
    private boolean mReading = true;
    private Optional<CallerListener> mListener = Optional.empty();
    private final ConnectionPersistence mPersistence = new ConnectionPersistence();
    private boolean mAnswered;
    private boolean mClosed;
    private boolean mDelivering;
    private boolean mDeliveryPending;
    private long mHeadStartedMs = -1;
    private long mHeadReadMs;
    private final long mOpenedMs;
    private final DiscardedRest mRest = new DiscardedRest();

    CallerConnection(CallerServer server, Clock clock) {
        mServer = server;
        mClock = clock;
        mOpenedMs = clock.nowMs();
        mQueued = new ReceivedMessages(server.intake().bufferLimit(), clock, this::updateReading);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mUnsent = new UnsentAnswers(mChannel, mOpenedMs);
        mRepeatedRead = new RepeatedRead(mChannel);
    }

    /** Records when the first bytes of a head arrived. Called before bytes are decoded. */
    void onBytes() {
        if (mListener.isEmpty() && mHeadStartedMs < 0 && !mClosed) {
            mHeadStartedMs = mClock.nowMs();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosed) {
            mRest.onMessage(mChannel, message);
            ReferenceCountUtil.release(message); // Decoded after the connection was closed.
            return;
        }
        mQueued.add((HttpObject) message);
        if (message instanceof HttpRequest && !mDeliveryPending) {
            mHeadReadMs = mClock.nowMs();
            setDeliveryPending(true);
        }
        deliver();
        mQueued.count();
    }

    private void setDeliveryPending(boolean pending) {
        if (pending != mDeliveryPending) {
            mDeliveryPending = pending;
            mServer.countWaiting(pending ? 1 : -1);
        }
    }

    /**
     * Schedules the handover of the requests that were read. If the caller had already closed the
     * connection, Netty closes the channel right after this method and before it runs the tasks of
     * the event loop, so that the scheduled task finds the channel inactive.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mRepeatedRead.onRead(mClock.nowMs());
        if (mDeliveryPending && !mRepeatedRead.isReading()) {
            scheduleDelivery();
        }
    }

    private void scheduleDelivery() {
        mServer.schedule(mChannel.eventLoop(), this::deliverIfRecent);
    }

    private void deliverIfRecent() {
        if (!mChannel.isActive() || !mDeliveryPending) {
            return;
        }
        mRepeatedRead.readIfOld(mClock.nowMs());
        if (!mChannel.isActive()) {
            return;
        }
        setDeliveryPending(false);
        if (mListener.isEmpty()) {
            mServer.onHandover(mClock.nowMs(), mHeadReadMs);
        }
        deliver();
    }

    /**
     * Tells the listener that the caller has disconnected if the event loop is too late to have
     * noticed it. Called before a request is sent on.
     */
    public void detectDisconnect(long nowMs) {
        if (mDelivering || !mChannel.config().isAutoRead()) {
            return; // The socket was read just before, or must not be read now.
        }
        mRepeatedRead.readIfOld(nowMs);
        if (!mChannel.isActive()) {
            onCallerLeft(nowMs);
        } else if (mDeliveryPending) {
            scheduleDelivery();
        }
    }

    private void deliver() {
        if (mDelivering || mDeliveryPending) {
            return;
        }
        mDelivering = true;
        while (!mQueued.isEmpty() && !mClosed) {
            boolean isHead = mQueued.peek() instanceof HttpRequest;
            if (isHead && mListener.isPresent()) {
                break;
            }
            handle(mQueued.poll());
        }
        mDelivering = false;
        updateReading();
    }

    private void updateReading() {
        if (!mClosed) {
            mChannel.config().setAutoRead(mReading && !mQueued.isHeldUp() && !mQueued.isFull());
        }
    }

    private void handle(HttpObject message) {
        long nowMs = mClock.nowMs();
        if (message.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            onUndecodable(nowMs, message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest head) {
            handleHead(nowMs, head);
        }
        if (message instanceof HttpContent content) {
            handleContent(nowMs, content);
        }
    }

    private void handleHead(long nowMs, HttpRequest head) {
        mHead = Optional.of(head);
        mHeadStartedMs = -1;
        mPersistence.onHead(head);
        mUnsent.onRequest(mServer.limits().idleTimeoutMs());
        mAnswered = false;
        Optional<Failure> fault = HeadValidator.validate(head, mServer.limits());
        if (fault.isPresent()) {
            refuseHead(fault.get());
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            var unused = mChannel.writeAndFlush(OwnResponses.continueRequest());
        }
        mListener = Optional.of(CallerListener.IGNORING);
        CallerListener listener = mServer.handler().onRequest(nowMs, this, head);
        if (!mAnswered && !mClosed) {
            mListener = Optional.of(listener);
        }
    }

    private void handleContent(long nowMs, HttpContent content) {
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
            mPersistence.onBodyEnd();
            if (mAnswered) {
                mListener = Optional.empty();
            } else if (mListener.isPresent()) {
                listener.onBodyEnd(nowMs);
            }
        }
    }

    private void onUndecodable(long nowMs, Throwable cause) {
        Failure failure = HeadValidator.undecodable(cause);
        if (mListener.isEmpty()) {
            refuseHead(failure);
        } else if (mAnswered) {
            abort();
        } else {
            closeAfterAnswer();
            mListener.get().onBodyInvalid(nowMs, failure);
        }
    }

    private void refuseHead(Failure failure) {
        mListener = Optional.of(CallerListener.IGNORING);
        mPersistence.onInvalidHead();
        fail(failure);
    }

    /** Writes the head of an answer whose body follows, without flushing it. */
    public void sendHead(HttpResponse head) {
        if (mClosed) {
            return;
        }
        boolean hasBody = !HttpUtil.isContentLengthSet(head) && AnswerFraming.mayHaveBody(head);
        if (hasBody && mPersistence.isHttp10()) {
            // Until the answer is complete, any close of the connection resets it.
            Channels.setLinger(mChannel, 0);
        } else if (hasBody) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        if (head.status().code() >= 200) {
            closeIfAsked();
        }
        if (!keepsAlive()) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var unused = mChannel.write(head, mChannel.voidPromise());
    }

    /** Closes the connection after the present answer; only before its head is sent. */
    public void closeAfterAnswer() {
        mPersistence.closeAfterAnswer();
    }

    private void closeIfAsked() {
        if (keepsAlive() && mServer.closesAfterAnswer(mClock.nowMs())) {
            closeAfterAnswer();
        }
    }

    private boolean keepsAlive() {
        return mPersistence.isKept() && !mServer.isDraining();
    }

    /** Writes a part of the answer's body and releases it, also if the connection is closed. */
    public void sendPart(HttpContent part) {
        if (mClosed) {
            part.release();
            return;
        }
        var unused = mChannel.write(part, mChannel.voidPromise());
    }

    /** Flushes everything that was written to the socket. */
    public void flush() {
        mChannel.flush();
    }

    /** Completes the answer; then the next request is handed over or the connection closed. */
    public void sendEnd() {
        if (mClosed) {
            return;
        }
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Answers with the error that a failure maps to; only before {@link #sendHead}. */
    public void fail(Failure failure) {
        ErrorAnswer answer = ErrorAnswer.of(failure);
        respond(answer.status(), ErrorAnswer.relayHeaders(failure), answer.body());
    }

    /** Sends a complete answer; only before {@link #sendHead}. */
    public void respond(int status, Map<String, String> headers, byte[] body) {
        if (mClosed) {
            return;
        }
        FullHttpResponse response = OwnResponses.of(status, headers, body);
        closeIfAsked();
        if (!keepsAlive()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        finish(response);
    }

    private void finish(HttpObject last) {
        boolean close = !keepsAlive();
        mAnswered = true;
        mListener =
                mPersistence.isBodyComplete()
                        ? Optional.empty()
                        : Optional.of(CallerListener.IGNORING);
        mUnsent.onEnding();
        var written = mChannel.writeAndFlush(last);
        if (close) {
            Channels.setLinger(mChannel, Channels.LINGER_OFF);
            stopHandling();
            written.addListener(done -> closeAfterWrite());
            return;
        }
        written.addListener(done -> mUnsent.onSent(mClock.nowMs()));
        setReading(true);
        deliver();
    }

    private void closeAfterWrite() {
        if (mPersistence.isBodyComplete()) {
            Channels.close(mChannel);
        } else {
            mRest.begin(mClock.nowMs(), mChannel);
        }
    }

    /**
     * Sends what was written and closes the connection without completing the answer, so that it
     * can't look complete. Whole answers before it are sent first.
     */
    public void abort() {
        mChannel.flush();
        stopHandling();
        mUnsent.closeOnceSent();
    }

    private void stopHandling() {
        mClosed = true;
        mListener = Optional.empty();
        releaseQueued();
        setDeliveryPending(false);
    }

    /** Returns whether the write buffer is below its mark, and below the bound of the VM. */
    public boolean isWritable() {
        return mChannel.isWritable() && !mHeldUp;
    }

    @Override
    public void setHeldUp(boolean heldUp) {
        mHeldUp = heldUp;
        mListener.ifPresent(l -> l.onCallerWritable(mClock.nowMs()));
    }

    @Override
    public void closeSlow(long nowMs, long heldBytes, long stalledMs) {
        mServer.intake().onClosedSlow(nowMs, mHead, heldBytes, stalledMs);
        Channels.setLinger(
                mChannel, 0); // A close that sent the rest would wait for the slow caller.
        onCallerLeft(nowMs);
        Channels.close(mChannel);
    }

    /** Stops or resumes reading the request's body from the socket. */
    public void setReading(boolean on) {
        mReading = on;
        updateReading();
    }

    /** Returns whether a request was read whose answer the socket has not taken in whole. */
    boolean isBusy() {
        return mListener.isPresent() || mDeliveryPending || !mUnsent.isEmpty();
    }

    /** Returns how many written bytes the socket has not taken yet. */
    long unsentBytes() {
        return mUnsent.bytes();
    }

    /** Closes the connection if it is not busy and no request is queued. */
    void closeIfIdle() {
        if (!isBusy() && mQueued.isEmpty()) {
            abort();
        }
    }

    /** Has a request in progress answered at once, since the process exits. */
    void endRequest(long nowMs) {
        mListener.ifPresent(l -> l.onExit(nowMs));
    }

    /** Closes the connection if it was idle, or a head incomplete, for longer than the limits. */
    void closeIfSlow(long nowMs) {
        if (mRest.isActive(nowMs, mChannel) || mListener.isPresent() || mDeliveryPending) {
            return;
        }
        boolean inHead = mHeadStartedMs >= 0 && !mClosed;
        if (inHead && nowMs - mHeadStartedMs > mServer.limits().headTimeoutMs()) {
            refuseHead(HeadValidator.slowHead());
            return;
        }
        boolean idle = !inHead && mUnsent.isIdle(nowMs, mServer.limits().idleTimeoutMs());
        if (idle && (mClosed || !hasUnreadRequest(nowMs))) {
            stopHandling();
            Channels.close(mChannel);
        }
    }

    /** Reads the socket, since a blocked event loop may have left a request unread. */
    private boolean hasUnreadRequest(long nowMs) {
        mRepeatedRead.readNow(nowMs);
        if (mDeliveryPending) {
            scheduleDelivery();
        }
        return mDeliveryPending || mHeadStartedMs >= 0;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        boolean reports = mChannel.isWritable() || mServer.intake().bufferLimit().isPresent();
        if (reports && mListener.isPresent()) {
            mListener.get().onCallerWritable(mClock.nowMs());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.onClosed(this);
        onCallerLeft(mClock.nowMs());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mServer.onFault(cause);
        onCallerLeft(mClock.nowMs());
        Channels.close(mChannel);
    }

    private void onCallerLeft(long nowMs) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        setDeliveryPending(false);
        long startedMs = mHeadStartedMs < 0 ? nowMs : mHeadStartedMs;
        UnreadRequest.all(
                        mQueued.messages(),
                        mHeadStartedMs >= 0,
                        nowMs - startedMs,
                        nowMs - mOpenedMs)
                .forEach(u -> mServer.intake().onUnread(nowMs, u));
        releaseQueued();
        Optional<CallerListener> listener = mListener;
        mListener = Optional.empty();
        listener.ifPresent(l -> l.onCallerGone(nowMs));
    }

    private void releaseQueued() {
        while (!mQueued.isEmpty()) {
            HttpObject each = mQueued.poll();
            mRest.onMessage(mChannel, each);
            ReferenceCountUtil.release(each);
        }
    }
}
