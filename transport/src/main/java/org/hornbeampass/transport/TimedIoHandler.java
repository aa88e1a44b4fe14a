package org.hornbeampass.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.util.function.Supplier;

/**
 * Times the turns of an event loop: its input and output, then its tasks.
 *
 * <p>Invariant: the time in which the loop waits for input is in no turn. Confined to the event
 * loop, except for {@link #wakeup}.
 */
final class TimedIoHandler implements IoHandler {
    private static final Logger LOG = LogManager.getLogger(TimedIoHandler.class);

    private final IoHandler mHandler;
    private final Supplier<TurnListener> mListener;
    private final TimedContext mContext = new TimedContext();
    private long mIoNs;
    private long mTasksFromNs = -1;

    private TimedIoHandler(IoHandler handler, Supplier<TurnListener> listener) {
        mHandler = handler;
        mListener = listener;
    }

    /** Returns a factory whose handlers time their loops' turns for a listener. */
    static IoHandlerFactory factory(IoHandlerFactory factory, Supplier<TurnListener> listener) {
        return executor -> new TimedIoHandler(factory.newHandler(executor), listener);
    }

    @Override
    public void initialize() {
        mHandler.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        if (mTasksFromNs >= 0) {
            report(mIoNs + System.nanoTime() - mTasksFromNs);
        }
        mIoNs = 0;
        mContext.mLoop = context;
        int handled = mHandler.run(mContext);
        mTasksFromNs = System.nanoTime();
        return handled;
    }

    /** An error that left this method would end the loop. */
    private void report(long workedNs) {
        try {
            mListener.get().onTurn(workedNs);
        } catch (RuntimeException e) {
            LOG.error("a listener of an event loop's turns failed with an internal error", e);
        }
    }

    @Override
    public void prepareToDestroy() {
        mHandler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        mHandler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return mHandler.register(handle);
    }

    @Override
    public void wakeup() {
        mHandler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return mHandler.isCompatible(type);
    }

    /** Receives the time for input and output, which the handler measures without its waits. */
    private final class TimedContext implements IoHandlerContext {
        private IoHandlerContext mLoop;

        @Override
        public boolean canBlock() {
            return mLoop.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return mLoop.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return mLoop.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long ioNs) {
            mIoNs += ioNs;
            if (mLoop.shouldReportActiveIoTime()) {
                mLoop.reportActiveIoTime(ioNs);
            }
        }
    }
}
