package org.hornbeampass.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the delay that {@link Backoff} computes from failures and a random number. */
class BackoffTest {
    @ParameterizedTest
    @CsvSource({
        "1, 0.0, 50",
        "1, 1.0, 100",
        "2, 0.5, 150",
        "6, 0.0, 1500",
        "6, 1.0, 3000",
        "2000000000, 1.0, 3000",
    })
    void delay_doublesUpToItsBound(int failures, double random, long expectedMs) {
        assertThat(new Backoff(100, 3_000).delayMs(failures, random)).isEqualTo(expectedMs);
    }
}
