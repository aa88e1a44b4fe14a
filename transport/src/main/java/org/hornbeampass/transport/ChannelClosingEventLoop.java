package org.hornbeampass.transport;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadIoEventLoop;

import java.util.concurrent.Executor;

/**
 * An event loop that closes all of its channels before it ends, whenever its shutdown begins.
 *
 * <p>Without a quiet period, Netty's own loop ends at once where the shutdown begins while it runs
 * tasks: it closes its selector, but not the channels, and their peers wait. Invariants: a channel
 * that is registered before the shutdown is closed and its handlers are notified; one that is
 * registered during the shutdown is closed. Thread-safe like any event loop.
 */
final class ChannelClosingEventLoop extends SingleThreadIoEventLoop {
    ChannelClosingEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory factory) {
        super(parent, executor, factory);
    }

    /** Closes the channels before the remaining tasks run, and those which these tasks open. */
    @Override
    protected boolean confirmShutdown() {
        if (!isShuttingDown()) {
            return false;
        }
        ioHandler().prepareToDestroy();
        boolean confirmed = super.confirmShutdown();
        ioHandler().prepareToDestroy();
        return confirmed;
    }
}
