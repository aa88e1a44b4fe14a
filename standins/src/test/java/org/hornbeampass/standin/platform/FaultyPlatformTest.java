package org.hornbeampass.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.standin.admin.FaultRule;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Tests {@link FaultyPlatform}: each fault in virtual time. */
class FaultyPlatformTest {
    private static final long TIMEOUT_MS = 100;
    private static final PlatformCall WRITE = new PlatformCall.Create("k", "1");
    private static final PlatformCall READ = new PlatformCall.Get("k");

    private final MemoryPlatform mInner = new MemoryPlatform();
    private final FaultyPlatform mPlatform =
            new FaultyPlatform(mInner, new FaultPlan(1), TIMEOUT_MS);
    private final List<String> mReplies = new ArrayList<>();

    @Test
    void submit_withoutFault_isAnsweredAtOnce() {
        submit(5, WRITE);

        assertThat(mReplies).containsExactly("5 Written");
        assertThat(exists()).isTrue();
    }

    @Test
    void submit_refused_hasNoEffect() {
        set(PlatformFault.REFUSE, 0);
        submit(5, WRITE);

        assertThat(mReplies).containsExactly("5 Unavailable");
        assertThat(exists()).isFalse();
    }

    @Test
    void submit_throttled_hasNoEffect() {
        set(PlatformFault.THROTTLE, 0);
        submit(5, WRITE);

        assertThat(mReplies).containsExactly("5 Throttled");
        assertThat(exists()).isFalse();
    }

    @Test
    void submit_silent_timesOutWithoutEffect() {
        set(PlatformFault.SILENT, 0);
        submit(5, WRITE);

        assertThat(mPlatform.nextDueAt()).hasValue(105);
        mPlatform.advance(104);
        assertThat(mReplies).isEmpty();
        mPlatform.advance(105);
        assertThat(mReplies).containsExactly("105 Unavailable");
        assertThat(exists()).isFalse();
    }

    @Test
    void submit_slow_takesEffectAndIsAnsweredLater() {
        set(PlatformFault.SLOW, 40);
        submit(5, WRITE);

        mPlatform.advance(44);
        assertThat(exists()).isFalse();
        mPlatform.advance(45);
        assertThat(mReplies).containsExactly("45 Written");
        assertThat(exists()).isTrue();
    }

    @Test
    void submit_withLostReply_takesEffectAndTimesOut() {
        set(PlatformFault.LOSE_REPLY, 0);
        submit(5, WRITE);

        assertThat(exists()).isTrue();
        mPlatform.advance(105);
        assertThat(mReplies).containsExactly("105 Unavailable");
    }

    @Test
    void submit_withLateEffect_takesEffectAfterItWasGivenUp() {
        set(PlatformFault.LATE_EFFECT, 500);
        submit(5, WRITE);

        mPlatform.advance(105);
        assertThat(mReplies).containsExactly("105 Unavailable");
        assertThat(exists()).isFalse();
        mPlatform.advance(505);
        assertThat(exists()).isTrue();
        assertThat(mReplies).hasSize(1);
    }

    @Test
    void submit_ofRead_neverLosesItsReply() {
        set(PlatformFault.LOSE_REPLY, 0);
        submit(5, READ);

        assertThat(mReplies).containsExactly("5 Missing");
    }

    @Test
    void submit_duringOutage_hasNoEffectAndAfterItWorks() {
        mPlatform.plan().addOutage(10, 20, true);
        submit(10, WRITE);
        submit(19, WRITE);
        submit(20, WRITE);

        assertThat(mReplies).containsExactly("10 Unavailable", "19 Unavailable", "20 Written");
    }

    @Test
    void clear_endsOutagesAndFaults() {
        mPlatform.plan().addOutage(0, Long.MAX_VALUE, true);
        set(PlatformFault.REFUSE, 0);
        mPlatform.plan().clear();
        submit(5, WRITE);

        assertThat(mReplies).containsExactly("5 Written");
    }

    private void set(PlatformFault fault, double amount) {
        mPlatform.plan().faults().set(fault, FaultRule.always(amount));
    }

    private void submit(long nowMs, PlatformCall call) {
        mPlatform.submit(
                nowMs,
                call,
                (at, reply) -> mReplies.add(at + " " + reply.getClass().getSimpleName()));
    }

    private boolean exists() {
        List<PlatformReply> replies = new ArrayList<>();
        mInner.submit(0, READ, (at, reply) -> replies.add(reply));
        return replies.get(0) instanceof PlatformReply.Found;
    }
}
