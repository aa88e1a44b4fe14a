package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.transport.Clock;
import org.hornbeampass.transport.EventLoops;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Checks that periodic tasks go on. */
@Timeout(20)
class TickLoopTest {
    /** Guards against a router that ticks no more after one error, such as too deep a recursion. */
    @Test
    void tickThatEndsWithAnError_isFollowedByOthers() throws InterruptedException {
        CountDownLatch ticks = new CountDownLatch(3);
        try (EventLoops loops = EventLoops.create(1, "test");
                TickLoop ticking = new TickLoop(loops, Clock.monotonic())) {
            ticking.every(
                    1,
                    nowMs -> {
                        ticks.countDown();
                        throw new StackOverflowError();
                    });
            assertThat(ticks.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }
}
