package org.hornbeampass.transport.http;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One request, from its wait for a connection to the end of its answer.
 *
 * <p>Invariants: the listener hears of exactly one end, or of none after {@link #cancel}; the call
 * is handed to at most one connection that writes it. Thread-safe: the connection is guarded by the
 * call's lock, under which no other lock is taken.
 */
final class ClientCall implements HttpClient.Call {
    private static final Logger LOG = LogManager.getLogger(ClientCall.class);

    private final HttpClient.Request mRequest;
    private final HttpClient.Listener mListener;
    private final Target mTarget;
    private final AtomicBoolean mDone = new AtomicBoolean();
    private final Object mLock = new Object();
    private Optional<ClientConnection> mConnection = Optional.empty();
    private volatile boolean mPaused;

    ClientCall(HttpClient.Request request, Target target, HttpClient.Listener listener) {
        mRequest = request;
        mTarget = target;
        mListener = listener;
    }

    HttpClient.Request request() {
        return mRequest;
    }

    Target target() {
        return mTarget;
    }

    /** Returns whether the call has ended or was cancelled. */
    boolean done() {
        return mDone.get();
    }

    boolean paused() {
        return mPaused;
    }

    /** Binds the call to the connection that writes it, and returns whether it still goes on. */
    boolean attach(ClientConnection connection) {
        synchronized (mLock) {
            mConnection = Optional.of(connection);
        }
        return !mDone.get();
    }

    @Override
    public void cancel() {
        if (mDone.compareAndSet(false, true)) {
            connection().ifPresent(c -> c.cancel(this));
        }
    }

    @Override
    public void pause() {
        mPaused = true;
        connection().ifPresent(c -> c.updateReading(this));
    }

    @Override
    public void resume() {
        mPaused = false;
        connection().ifPresent(c -> c.updateReading(this));
    }

    void head(int status, Map<String, String> headers) {
        if (!mDone.get()) {
            mListener.onHead(status, headers);
        }
    }

    void data(byte[] chunk) {
        if (!mDone.get()) {
            mListener.onData(chunk);
        }
    }

    void end() {
        if (mDone.compareAndSet(false, true)) {
            mListener.onEnd();
        }
    }

    void fail(boolean sent, String reason) {
        if (!mDone.compareAndSet(false, true)) {
            return;
        }
        try {
            mListener.onFailure(sent, reason);
        } catch (RuntimeException e) {
            LOG.error("a listener failed on the failure of a call", e);
        }
    }

    private Optional<ClientConnection> connection() {
        synchronized (mLock) {
            return mConnection;
        }
    }
}
