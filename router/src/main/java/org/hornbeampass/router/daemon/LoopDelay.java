package org.hornbeampass.router.daemon;

/**
 * How late the event loop runs its timers, which is how long a request waits there before it is
 * handled.
 *
 * <p>The delay rises at once and falls by half with each tick. Confined to one event loop.
 */
final class LoopDelay {
    private final long mIntervalMs;
    private long mLastTickMs = -1;
    private long mDelayMs;

    /** Creates the measurement of a tick that is scheduled at a fixed delay in milliseconds. */
    LoopDelay(long intervalMs) {
        mIntervalMs = intervalMs;
    }

    /** Records a tick at the present time in milliseconds. */
    void onTick(long nowMs) {
        long lateMs = mLastTickMs < 0 ? 0 : Math.max(0, nowMs - mLastTickMs - mIntervalMs);
        mLastTickMs = nowMs;
        mDelayMs = Math.max(lateMs, mDelayMs / 2);
    }

    /** Returns the recent delay in milliseconds. */
    long delayMs() {
        return mDelayMs;
    }
}
