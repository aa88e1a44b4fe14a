package org.hornbeampass.standin.platform;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.Unavailable;
import org.hornbeampass.standin.admin.TimedActions;

import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * A platform that loses replies, delays calls and has outages, by a seeded plan, without sockets.
 *
 * <p>What does not happen at once waits for {@link #advance}, which a simulation calls at {@link
 * #nextDueAt}. Invariant: every call is replied to exactly once; one without a reply is told {@code
 * Unavailable} after the timeout. A write whose effect is late may take effect after it was told
 * {@code Unavailable}. Thread-safe, as the wrapped platform is.
 */
public final class FaultyPlatform implements Platform {
    private final Platform mInner;
    private final FaultPlan mPlan;
    private final long mTimeoutMs;
    private final TimedActions mActions = new TimedActions();

    /**
     * Wraps a platform.
     *
     * @param inner the platform that holds the objects
     * @param plan decides the fate of each call
     * @param timeoutMs after how long a caller gives a reply up, in milliseconds
     */
    public FaultyPlatform(Platform inner, FaultPlan plan, long timeoutMs) {
        mInner = inner;
        mPlan = plan;
        mTimeoutMs = timeoutMs;
    }

    /** Returns the plan, to set faults and outages. */
    public FaultPlan plan() {
        return mPlan;
    }

    @Override
    public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        CallFate fate = mPlan.fate(nowMs, call);
        switch (fate.outcome()) {
            case ANSWER -> afterDelay(nowMs, fate, t -> mInner.submit(t, call, done));
            case REFUSE -> done.accept(nowMs, new Unavailable("connection refused"));
            case THROTTLE -> done.accept(nowMs, new PlatformReply.Throttled());
            case SILENT -> timeOut(nowMs, "no reply", done);
            case LOSE_REPLY -> {
                afterDelay(nowMs, fate, t -> mInner.submit(t, call, (at, reply) -> {}));
                timeOut(nowMs + fate.delayMs(), "reply lost", done);
            }
            default -> {
                // LATE_EFFECT
                timeOut(nowMs, "connection broken", done);
                afterDelay(nowMs, fate, t -> mInner.submit(t, call, (at, reply) -> {}));
            }
        }
    }

    /** Does all that is due by now. */
    public void advance(long nowMs) {
        mActions.runDue(nowMs);
    }

    /** Returns when {@link #advance} has something to do, in milliseconds. */
    public OptionalLong nextDueAt() {
        return mActions.nextDueAt();
    }

    private void afterDelay(long nowMs, CallFate fate, LongConsumer effect) {
        if (fate.delayMs() == 0) {
            effect.accept(nowMs);
            return;
        }
        mActions.at(nowMs + fate.delayMs(), effect);
    }

    private void timeOut(long nowMs, String reason, BiConsumer<Long, PlatformReply> done) {
        mActions.at(nowMs + mTimeoutMs, t -> done.accept(t, new Unavailable(reason)));
    }
}
