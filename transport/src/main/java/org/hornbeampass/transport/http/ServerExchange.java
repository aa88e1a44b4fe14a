package org.hornbeampass.transport.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request on one {@link ServerConnection}.
 *
 * <p>Invariant: the answer goes from open over streaming to ended and never back; a call that does
 * not fit is logged and has no effect. Thread-safe: one lock guards the phase and the actions, and
 * actions run after it is released; the answer's parts are handed to the connection under it, which
 * keeps them in the order of the calls.
 */
final class ServerExchange implements HttpExchange {
    private static final Logger LOG = LogManager.getLogger(ServerExchange.class);

    private final Object mLock = new Object();
    private final ServerConnection mConnection;
    private final HttpRequest mRequest;
    private final QueryStringDecoder mTarget;
    private final String mPath;
    private final byte[] mBody;
    private final String mRemoteAddress;
    private final List<Runnable> mOnCallerGone = new ArrayList<>(1);
    private volatile List<Runnable> mOnWritable = List.of();
    private Phase mPhase = Phase.OPEN;
    private boolean mCallerGone;

    /** How far the answer has come. */
    private enum Phase {
        OPEN,
        STREAMING,
        ENDED
    }

    /**
     * Takes a request whose body is whole.
     *
     * @throws IllegalArgumentException if the target can't be decoded
     */
    ServerExchange(
            ServerConnection connection, HttpRequest request, byte[] body, String remoteAddress) {
        mConnection = connection;
        mRequest = request;
        mTarget = new QueryStringDecoder(request.uri());
        mPath = mTarget.path();
        mBody = body;
        mRemoteAddress = remoteAddress;
    }

    @Override
    public String method() {
        return mRequest.method().name();
    }

    @Override
    public String path() {
        return mPath;
    }

    @Override
    public String rawTarget() {
        return mRequest.uri();
    }

    @Override
    public Optional<String> query(String name) {
        List<String> values = mTarget.parameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.get(0));
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.headers().get(name));
    }

    @Override
    public byte[] body() {
        return mBody;
    }

    @Override
    public String remoteAddress() {
        return mRemoteAddress;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        put(Phase.OPEN, Phase.ENDED, new AnswerPart.Whole(this, status, headers, body));
    }

    @Override
    public void startStream(int status, Map<String, String> headers) {
        put(Phase.OPEN, Phase.STREAMING, new AnswerPart.Head(this, status, headers));
    }

    @Override
    public boolean write(byte[] chunk) {
        if (chunk.length > 0) {
            put(Phase.STREAMING, Phase.STREAMING, new AnswerPart.Chunk(this, chunk));
        }
        return mConnection.writable();
    }

    @Override
    public void end() {
        put(Phase.STREAMING, Phase.ENDED, new AnswerPart.End(this));
    }

    @Override
    public void abort() {
        synchronized (mLock) {
            if (mPhase == Phase.OPEN) {
                mPhase = Phase.STREAMING;
            }
        }
        put(Phase.STREAMING, Phase.ENDED, new AnswerPart.Abort(this));
    }

    @Override
    public void onWritable(Runnable action) {
        synchronized (mLock) {
            List<Runnable> actions = new ArrayList<>(mOnWritable);
            actions.add(action);
            mOnWritable = List.copyOf(actions);
        }
    }

    @Override
    public void onCallerGone(Runnable action) {
        synchronized (mLock) {
            if (!mCallerGone) {
                mOnCallerGone.add(action);
                return;
            }
        }
        runSafely(action);
    }

    /** Tells the producer that the connection takes bytes again. */
    void becameWritable() {
        mOnWritable.forEach(ServerExchange::runSafely);
    }

    /** Tells the producer that the connection is closed, unless the answer has ended before. */
    void connectionClosed() {
        List<Runnable> actions;
        synchronized (mLock) {
            if (mPhase == Phase.ENDED || mCallerGone) {
                return;
            }
            mCallerGone = true;
            actions = List.copyOf(mOnCallerGone);
            mOnCallerGone.clear();
        }
        actions.forEach(ServerExchange::runSafely);
    }

    private void put(Phase from, Phase to, AnswerPart part) {
        synchronized (mLock) {
            if (mCallerGone) {
                return;
            }
            if (mPhase == from) {
                mPhase = to;
                mConnection.put(part);
                return;
            }
        }
        LOG.warn("{} ignored: the answer to {} is not {}", part.getClass(), mPath, from);
    }

    private static void runSafely(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("an action on a caller's connection failed", e);
        }
    }
}
