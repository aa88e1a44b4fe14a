package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Tests that the retries of all VMs together stay within the fleet's budget in every window. */
class RetryWindowTest {
    private static final long WINDOW_MS = 10_000;
    private static final double RATIO = 0.2;
    private static final double EXTRA = 56;
    private static final int VMS = 8;

    @Test
    void anyWindow_staysWithinTheFleetsBudget() {
        Random random = new Random(1);
        RetryWindow[] windows = new RetryWindow[VMS];
        for (int i = 0; i < VMS; i++) {
            windows[i] = new RetryWindow(WINDOW_MS);
        }
        List<Long> first = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long nowMs = 0; nowMs < 60_000; nowMs += 5) {
            RetryWindow window = windows[random.nextInt(VMS)];
            if (random.nextInt(4) == 0) {
                window.onFirstSend(nowMs);
                first.add(nowMs);
            } else if (window.tryTake(nowMs, RATIO, EXTRA, VMS)) {
                retries.add(nowMs);
            }
        }
        for (long end = WINDOW_MS; end < 60_000; end += 100) {
            assertThat(inWindow(retries, end))
                    .isLessThanOrEqualTo((long) (RATIO * inWindow(first, end) + EXTRA));
        }
        assertThat(retries).hasSizeGreaterThan(100);
    }

    private static long inWindow(List<Long> times, long endMs) {
        return times.stream().filter(t -> t > endMs - WINDOW_MS && t <= endMs).count();
    }

    @Test
    void fixedPart_isAvailableAgainAfterAWindow() {
        RetryWindow window = new RetryWindow(WINDOW_MS);
        int taken = 0;
        while (window.tryTake(0, RATIO, EXTRA, VMS)) {
            taken++;
        }
        assertThat(taken).isEqualTo(5);
        assertThat(window.tryTake(WINDOW_MS - 1, RATIO, EXTRA, VMS)).isFalse();
        assertThat(window.tryTake(WINDOW_MS, RATIO, EXTRA, VMS)).isTrue();
    }
}
