package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hornbeampass.coordination.platform.CallPriority.BACKGROUND;
import static org.hornbeampass.coordination.platform.CallPriority.NORMAL;
import static org.hornbeampass.coordination.platform.CallPriority.URGENT;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests the rate limit, the priorities and the bounded queue of {@link CallRateLimiter}. */
class CallRateLimiterTest {
    private static final CallLimits ONE_PER_SECOND = new CallLimits(1, 1, 1, 1, 2);

    private final List<String> mSent = new ArrayList<>();
    private final List<PlatformReply> mReplies = new ArrayList<>();
    private final Platform mPlatform =
            (nowMs, call, done) -> {
                mSent.add(((PlatformCall.Get) call).key());
                done.accept(nowMs, new PlatformReply.Missing());
            };
    private final CallRateLimiter mLimiter = new CallRateLimiter(mPlatform, ONE_PER_SECOND, 0);

    @Test
    void callsAboveTheRate_areQueuedAndSentByPriority() {
        get(0, URGENT, "first");
        get(0, NORMAL, "normal");
        get(0, URGENT, "urgent");
        assertThat(mSent).containsExactly("first");

        mLimiter.tick(999);
        assertThat(mSent).hasSize(1);
        mLimiter.tick(1_000);
        assertThat(mSent).containsExactly("first", "urgent");
        mLimiter.tick(2_000);
        assertThat(mSent).containsExactly("first", "urgent", "normal");
        assertThat(mLimiter.sent(PlatformCall.Kind.READ, URGENT)).isEqualTo(2);
        assertThat(mLimiter.sent(PlatformCall.Kind.READ, NORMAL)).isEqualTo(1);
    }

    @Test
    void fullQueue_rejectsCallAtOnce() {
        get(0, URGENT, "sent");
        get(0, URGENT, "waits 1");
        get(0, URGENT, "waits 2");
        mReplies.clear();

        get(0, URGENT, "refused");

        assertThat(mReplies).containsExactly(new PlatformReply.Throttled());
        assertThat(mLimiter.refused(PlatformCall.Kind.READ, URGENT)).isEqualTo(1);
        assertThat(mLimiter.queued(PlatformCall.Kind.READ)).isEqualTo(2);
    }

    @Test
    void fullQueue_evictsLessUrgentCallForUrgentOne() {
        get(0, URGENT, "sent");
        get(0, BACKGROUND, "background");
        get(0, NORMAL, "normal");
        mReplies.clear();

        get(0, URGENT, "urgent");

        assertThat(mReplies).containsExactly(new PlatformReply.Throttled());
        assertThat(mLimiter.refused(PlatformCall.Kind.READ, BACKGROUND)).isEqualTo(1);
        mLimiter.tick(1_000);
        mLimiter.tick(2_000);
        mLimiter.tick(9_000);
        assertThat(mSent).containsExactly("sent", "urgent", "normal");
    }

    @Test
    void backgroundCalls_leaveReservedBurstToUrgentCalls() {
        CallRateLimiter budget =
                new CallRateLimiter(mPlatform, new CallLimits(10, 10, 10, 1, 100), 0);
        for (int i = 0; i < 10; i++) {
            budget.withPriority(BACKGROUND).submit(0, new PlatformCall.Get("b" + i), (t, r) -> {});
        }
        assertThat(mSent).hasSize(7);

        budget.withPriority(URGENT).submit(0, new PlatformCall.Get("urgent"), (t, r) -> {});

        assertThat(mSent).hasSize(8).endsWith("urgent");
    }

    @Test
    void clockMovingBackwards_addsNoTokens() {
        get(5_000, URGENT, "sent");
        get(5_000, URGENT, "waits");

        mLimiter.tick(1_000);
        mLimiter.tick(5_500);

        assertThat(mSent).containsExactly("sent");
    }

    private void get(long nowMs, CallPriority priority, String key) {
        mLimiter.withPriority(priority)
                .submit(nowMs, new PlatformCall.Get(key), (atMs, reply) -> mReplies.add(reply));
    }
}
