package org.hornbeampass.coordination.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how the recent time of a turn follows the turns. */
class TurnTimeTest {
    private final TurnTime mTime = new TurnTime();

    @Test
    void turnsOfOneLength_haveThatMean() {
        for (int i = 1; i <= 20; i++) {
            mTime.onTurn(40.0 * i, 40);
        }
        assertThat(mTime.meanMs()).isBetween(39.0, 40.0);
    }

    @Test
    void waitBetweenShortTurns_lowersTheMean() {
        mTime.onTurn(100, 100);
        mTime.onTurn(300, 1);
        assertThat(mTime.meanMs()).isLessThan(2);
    }

    @Test
    void manyShortTurnsInLittleTime_lowerTheMeanLittle() {
        mTime.onTurn(100, 100);
        double beforeMs = mTime.meanMs();
        for (int i = 1; i <= 4; i++) {
            mTime.onTurn(100 + i, 1);
        }
        assertThat(mTime.meanMs()).isGreaterThan(0.75 * beforeMs);
    }

    /** Guards against a VM that counts as slow for long after it stood still. */
    @Test
    void stall_countsAsOneLongTurn() {
        mTime.onTurn(5_000, 5_000);
        assertThat(mTime.meanMs()).isLessThanOrEqualTo(TurnTime.MAX_TURN_MS);
    }
}
