package org.hornbeampass.coordination.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;

/** Tests when a VM refuses connections, and what callers that keep to it get. */
class IntakePauseTest {
    private static final int OTHERS = 16;
    private static final long TICK_MS = 100;

    /** The delay of the event loop from which a VM that doesn't pause refuses requests. */
    private static final double REFUSAL_DELAY_MS = 150;

    private static final double LONG_TURN_MS = IntakePause.BEGIN_MS / IntakePause.TURNS;
    private static final double SHORT_TURN_MS = IntakePause.END_MS / IntakePause.TURNS;

    private final IntakePause mPause = pause(OTHERS);

    private static IntakePause pause(int otherVms) {
        IntakePause pause = new IntakePause();
        pause.setOtherVms(otherVms);
        return pause;
    }

    /** Plays turns of one length, one after another, and returns the last decision. */
    private boolean turns(double fromMs, double turnMs, int count) {
        boolean paused = false;
        for (int i = 1; i <= count; i++) {
            paused = mPause.onTurn(fromMs + i * turnMs, turnMs);
        }
        return paused;
    }

    /** What a late VM does with new requests. */
    private enum Way {
        SERVE,
        REFUSE_AFTER_READING,
        PAUSE
    }

    /**
     * Plays callers that keep to one VM, in steps of 1 ms: 250 requests a second for two seconds,
     * then 100, of which the VM serves 120. A request that its caller has given up still costs the
     * VM its work.
     *
     * @return the fraction that is answered within a second
     */
    private double played(Way way) {
        IntakePause pause = pause(OTHERS);
        double costMs = 1_000.0 / 120;
        double refusalMs = 3;
        ArrayDeque<Long> waiting = new ArrayDeque<>();
        double arrivals = 0;
        double workMs = 0;
        double lateMs = 0;
        int asked = 0;
        int inTime = 0;
        boolean paused = false;
        for (long nowMs = 0; nowMs < 8_000; nowMs++) {
            arrivals += (nowMs < 2_000 ? 250 : 100) / 1_000.0;
            workMs = Math.min(workMs + 1, costMs + 1);
            while (arrivals >= 1) {
                arrivals--;
                asked++;
                if (way == Way.REFUSE_AFTER_READING && lateMs >= REFUSAL_DELAY_MS) {
                    workMs -= refusalMs;
                } else if (!paused) {
                    waiting.add(nowMs);
                }
            }
            while (!waiting.isEmpty() && workMs >= costMs) {
                workMs -= costMs;
                inTime += nowMs - waiting.remove() <= 1_000 ? 1 : 0;
            }
            if (nowMs % TICK_MS == 0) {
                lateMs = Math.max(0, Math.max(lateMs / 2, waiting.size() * costMs - TICK_MS));
            }
            double turnMs = waiting.size() * costMs / IntakePause.TURNS;
            paused = way == Way.PAUSE && pause.onTurn((double) nowMs, turnMs);
        }
        return (double) inTime / asked;
    }

    /** Guards against a backlog that outlasts the load that caused it. */
    @Test
    void pauses_serveMoreThanServingOrRefusingAfterReading() {
        assertThat(played(Way.PAUSE)).isGreaterThan(0.7);
        assertThat(played(Way.SERVE)).isLessThan(0.5);
        assertThat(played(Way.REFUSE_AFTER_READING)).isLessThan(played(Way.PAUSE));
    }

    @Test
    void pause_endsWhenTurnsAreShortAgain() {
        assertThat(turns(0, LONG_TURN_MS - 1, 5)).isFalse();
        assertThat(turns(10_000, LONG_TURN_MS + 1, 5)).isTrue();
        double pausedMs = 10_000 + 5 * (LONG_TURN_MS + 1);
        assertThat(turns(pausedMs, SHORT_TURN_MS + 1, 1)).isTrue();
        assertThat(turns(pausedMs + SHORT_TURN_MS + 1, SHORT_TURN_MS - 1, 20)).isFalse();
    }

    /** Guards against a VM that takes no connection for seconds, however late it is. */
    @Test
    void pause_endsAfterItsLongestTimeAndBeginsAgainLater() {
        double longMs = 100;
        assertThat(turns(0, longMs, 1)).isTrue();
        double endMs = longMs + IntakePause.MAX_PAUSE_MS;
        assertThat(mPause.onTurn(endMs - 1, longMs)).isTrue();
        assertThat(mPause.onTurn(endMs, longMs)).isFalse();
        assertThat(mPause.onTurn(endMs + IntakePause.MIN_INTAKE_MS - 1, longMs)).isFalse();
        assertThat(mPause.onTurn(endMs + IntakePause.MIN_INTAKE_MS, longMs)).isTrue();
    }

    /** Guards against a VM that stops and starts listening for each request. */
    @Test
    void pause_lastsItsShortestTime() {
        assertThat(mPause.onTurn(1_000, 1_000)).isTrue();
        assertThat(mPause.onTurn(1_000 + IntakePause.MIN_PAUSE_MS - 1, 0)).isTrue();
    }

    /** Guards against callers that have nowhere else to go. */
    @Test
    void pause_doesNotBeginWithoutOtherVms() {
        mPause.setOtherVms(IntakePause.MIN_OTHER_VMS - 1);
        assertThat(turns(0, 500, 50)).isFalse();
        mPause.setOtherVms(IntakePause.MIN_OTHER_VMS);
        assertThat(turns(100_000, 500, 1)).isTrue();
    }
}
