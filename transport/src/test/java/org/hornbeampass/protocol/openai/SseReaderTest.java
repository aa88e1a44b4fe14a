package org.hornbeampass.protocol.openai;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Streams of bytes and the events that are cut from them. */
class SseReaderTest {
    private final List<String> mEvents = new ArrayList<>();
    private final SseReader mReader =
            new SseReader(40, data -> mEvents.add(new String(data, StandardCharsets.UTF_8)));

    private boolean read(String part) {
        return mReader.read(part.getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void anyLineEnd_endsEvents(String end) {
        read("data: a" + end + end + "data:b" + end + end);
        assertThat(mEvents).containsExactly("a", "b");
    }

    @Test
    void eventInSinglePieces_isJoined() {
        for (char c : "data: ab\r\n\r\n".toCharArray()) {
            read(String.valueOf(c));
        }
        assertThat(mEvents).containsExactly("ab");
    }

    @Test
    void severalDataLines_areOneEvent() {
        read("data: a\ndata: b\n\n");
        assertThat(mEvents).containsExactly("a\nb");
    }

    @Test
    void commentsAndOtherFields_areIgnored() {
        read(": hello\nevent: x\nid: 7\ndata: a\n\n\n");
        assertThat(mEvents).containsExactly("a");
    }

    @Test
    void halfAnEvent_givesNothing() {
        read("data: a\n");
        assertThat(mEvents).isEmpty();
    }

    @Test
    void eventOverTheBound_isRefused() {
        assertThat(read("data: " + "a".repeat(30))).isTrue();
        assertThat(read("a".repeat(30))).isFalse();
    }
}
