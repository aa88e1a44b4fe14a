package org.hornbeampass.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link AnswerQueue}: when producers are refused, and that each refusal is reported. */
class AnswerQueueTest {
    private static final int FULL = (int) AnswerQueue.MAX_BYTES;

    private final AnswerQueue mQueue = new AnswerQueue();

    @Test
    void belowTheBound_hasRoom_andNobodyIsReported() {
        mQueue.add(chunk(FULL - 1));

        assertThat(mQueue.hasRoom()).isTrue();
        assertThat(mQueue.takeRefused()).isFalse();
    }

    @Test
    void atTheBound_refuses_untilPartsAreRemoved_andReportsOnce() {
        mQueue.add(chunk(FULL));
        assertThat(mQueue.hasRoom()).isFalse();

        assertThat(mQueue.poll()).isPresent();
        assertThat(mQueue.poll()).isEmpty();

        assertThat(mQueue.hasRoom()).isTrue();
        assertThat(mQueue.takeRefused()).isTrue();
        assertThat(mQueue.takeRefused()).isFalse();
    }

    private static AnswerPart chunk(int bytes) {
        return new AnswerPart.Chunk(null, new byte[bytes]);
    }
}
