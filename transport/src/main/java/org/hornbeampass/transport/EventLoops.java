package org.hornbeampass.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Owns the event loop threads that servers and clients share.
 *
 * <p>Invariants: the loops use NIO selectors only, and their threads are daemon threads; closing
 * them closes all of their channels. Thread-safe.
 */
public final class EventLoops implements AutoCloseable {
    private static final long QUIET_PERIOD_MS = 0;
    private static final long CLOSE_TIMEOUT_MS = 2_000;
    private static final int MIN_THREADS = 2;
    private static final int MAX_THREADS = 8;

    private final Group mGroup;

    /** Holds the process-wide loops, which are created when first used. */
    private static final class Shared {
        static final EventLoops LOOPS =
                create(
                        Math.max(
                                MIN_THREADS,
                                Math.min(MAX_THREADS, Runtime.getRuntime().availableProcessors())),
                        "shared-loop");
    }

    /** Creates loops that close their channels before they end. */
    private static final class Group extends MultiThreadIoEventLoopGroup {
        private final Turns mTurns;

        Group(int threads, ThreadFactory threadFactory, Turns turns) {
            super(
                    threads,
                    threadFactory,
                    TimedIoHandler.factory(NioIoHandler.newFactory(), turns::listener));
            mTurns = turns;
        }

        @Override
        protected IoEventLoop newChild(
                Executor executor, IoHandlerFactory factory, Object... arguments) {
            return new ChannelClosingEventLoop(this, executor, factory);
        }
    }

    /** Holds the listener, which may change while the loops run. Thread-safe. */
    private static final class Turns {
        private volatile TurnListener mListener = TurnListener.NONE;

        TurnListener listener() {
            return mListener;
        }
    }

    private EventLoops(Group group) {
        mGroup = group;
    }

    /**
     * Creates event loops that are not shared with other callers.
     *
     * @param threads the number of threads
     * @param name the prefix of the threads' names
     */
    public static EventLoops create(int threads, String name) {
        return new EventLoops(
                new Group(threads, new DefaultThreadFactory(name, true), new Turns()));
    }

    /** Returns the process-wide loops; closing them has no effect. */
    public static EventLoops shared() {
        return Shared.LOOPS;
    }

    /** Sets the listener that is notified after each turn, by the thread of each loop. */
    public void observeTurns(TurnListener listener) {
        mGroup.mTurns.mListener = listener;
    }

    /** Returns the Netty event loop group. */
    public EventLoopGroup group() {
        return mGroup;
    }

    /**
     * Starts closing the loops and all of their channels. Returns without waiting, so that a thread
     * of a loop may call it; has no effect on the shared loops.
     */
    @Override
    public void close() {
        if (this == Shared.LOOPS) {
            return;
        }
        var unused =
                mGroup.shutdownGracefully(QUIET_PERIOD_MS, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
