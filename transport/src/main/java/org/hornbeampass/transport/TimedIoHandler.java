package org.hornbeampass.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

import java.util.function.Supplier;

/**
 * Times the turns of an event loop: its input and output, then its tasks.
 *
 * <p>Invariant: the time in which the loop waits for input is in no turn. Confined to the event
 * loop, except for {@link #wakeup}.
 */
final class TimedIoHandler implements IoHandler {
    private final IoHandler mHandler;
    private final Supplier<TurnListener> mListener;
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
            mListener.get().onTurn(mIoNs + System.nanoTime() - mTasksFromNs);
        }
        mIoNs = 0;
        int handled = mHandler.run(new TimedContext(context));
        mTasksFromNs = System.nanoTime();
        return handled;
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
        private final IoHandlerContext mContext;

        TimedContext(IoHandlerContext context) {
            mContext = context;
        }

        @Override
        public boolean canBlock() {
            return mContext.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return mContext.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return mContext.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long ioNs) {
            mIoNs += ioNs;
            if (mContext.shouldReportActiveIoTime()) {
                mContext.reportActiveIoTime(ioNs);
            }
        }
    }
}
