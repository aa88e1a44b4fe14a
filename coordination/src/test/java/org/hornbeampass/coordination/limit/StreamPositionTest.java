package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.junit.jupiter.api.Test;

/** Tests which tokens of a part {@link StreamPosition} considers new. */
class StreamPositionTest {
    private final StreamPosition mAtTen = new StreamPosition(3, 10);

    @Test
    void nextPart_isEntirelyNew() {
        assertThat(mAtTen.fit(10, 4).get())
                .isEqualTo(new StreamPosition.FittedPart(0, new StreamPosition(3, 14)));
    }

    @Test
    void overlappingPart_skipsDeliveredTokens() {
        assertThat(mAtTen.fit(8, 4).get())
                .isEqualTo(new StreamPosition.FittedPart(2, new StreamPosition(3, 12)));
    }

    @Test
    void repeatedPart_isSkippedEntirely() {
        assertThat(mAtTen.fit(4, 4).get()).isEqualTo(new StreamPosition.FittedPart(4, mAtTen));
    }

    @Test
    void partAfterGap_breaksTheStream() {
        assertThat(mAtTen.fit(11, 4).getLeft().kind()).isEqualTo(ErrorKind.STREAM_BROKEN);
    }

    @Test
    void partOfAbandonedAttempt_isNotAccepted() {
        StreamPosition resumed = mAtTen.resumedBy(4);

        assertThat(resumed.accepts(3)).isFalse();
        assertThat(resumed.accepts(4)).isTrue();
        assertThat(resumed.delivered()).isEqualTo(10);
    }
}
