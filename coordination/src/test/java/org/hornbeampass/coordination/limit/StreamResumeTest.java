package org.hornbeampass.coordination.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.ErrorKind;
import org.junit.jupiter.api.Test;

/** Tests {@link StreamResume}: position and part → what is new. */
class StreamResumeTest {
    private final StreamResume mAtTen = new StreamResume(3, 10);

    @Test
    void nextPart_isWhollyNew() {
        assertThat(mAtTen.fit(10, 4).get())
                .isEqualTo(new StreamResume.Fitted(0, new StreamResume(3, 14)));
    }

    @Test
    void overlappingPart_losesWhatTheCallerHas() {
        assertThat(mAtTen.fit(8, 4).get())
                .isEqualTo(new StreamResume.Fitted(2, new StreamResume(3, 12)));
    }

    @Test
    void repeatedPart_isWhollySkipped() {
        assertThat(mAtTen.fit(4, 4).get()).isEqualTo(new StreamResume.Fitted(4, mAtTen));
    }

    @Test
    void partAfterGap_breaksTheStream() {
        assertThat(mAtTen.fit(11, 4).getLeft().kind()).isEqualTo(ErrorKind.STREAM_BROKEN);
    }

    @Test
    void partOfAbandonedAttempt_isNotAccepted() {
        StreamResume resumed = mAtTen.resumedBy(4);

        assertThat(resumed.accepts(3)).isFalse();
        assertThat(resumed.accepts(4)).isTrue();
        assertThat(resumed.delivered()).isEqualTo(10);
    }
}
