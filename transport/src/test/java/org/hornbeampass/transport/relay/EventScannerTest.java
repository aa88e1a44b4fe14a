package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Checks that all events are found wherever the stream is split into parts. */
class EventScannerTest {
    private static final String STREAM =
            """
            id: 1
            data: a

            id: 2\r
            data: b\r
            \r


            weight: 3
            id: 17
            data: id: 5

            data: c\
            """;

    private static List<Long> ids(List<String> parts) {
        EventScanner scanner = new EventScanner();
        List<Long> ids = new ArrayList<>();
        parts.forEach(
                p ->
                        scanner.scan(
                                Unpooled.copiedBuffer(p, StandardCharsets.UTF_8),
                                (end, id) -> ids.add(id)));
        return ids;
    }

    @Test
    void events_areReportedWithTheirIds() {
        assertThat(ids(List.of(STREAM))).containsExactly(1L, 2L, 17L);
    }

    @Test
    void anySplitOfTheStream_givesTheSameEvents() {
        Random random = new Random(1);
        for (int i = 0; i < 500; i++) {
            int first = random.nextInt(STREAM.length());
            int second = first + random.nextInt(STREAM.length() - first);
            assertThat(
                            ids(
                                    List.of(
                                            STREAM.substring(0, first),
                                            STREAM.substring(first, second),
                                            STREAM.substring(second))))
                    .containsExactly(1L, 2L, 17L);
        }
    }

    @Test
    void endIndex_isAfterTheEmptyLine() {
        List<Integer> ends = new ArrayList<>();
        new EventScanner()
                .scan(
                        Unpooled.copiedBuffer("data: a\n\nrest", StandardCharsets.UTF_8),
                        (end, id) -> ends.add(end));
        assertThat(ends).containsExactly(9);
    }

    @Test
    void eventWithoutId_isReportedWithMinusOne() {
        assertThat(ids(List.of("data: a\n\n"))).containsExactly(-1L);
    }

    private static long partialEventBytes(String stream) {
        EventScanner scanner = new EventScanner();
        scanner.scan(Unpooled.copiedBuffer(stream, StandardCharsets.UTF_8), (end, id) -> {});
        return scanner.partialEventBytes();
    }

    @Test
    void partialEventBytes_countsFromTheLastEmptyLine() {
        assertThat(partialEventBytes("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo(8);
        assertThat(partialEventBytes("id: 1\ndata: a\n\nid: 2\n")).isEqualTo(6);
    }

    @Test
    void partialEventBytes_isZeroBetweenEventsAndInComments() {
        assertThat(partialEventBytes("")).isZero();
        assertThat(partialEventBytes("data: a\n\n")).isZero();
        assertThat(partialEventBytes("data: a\r\n\r\n\n")).isZero();
        assertThat(partialEventBytes("data: a\n\n: alive\n")).isZero();
        assertThat(partialEventBytes("data: a\n\n: ali")).isZero();
    }
}
