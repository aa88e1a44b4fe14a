package org.hornbeampass.experiment.caller;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Tests {@link ChatTry} and the parsing of events below it. */
class ChatTryTest {
    private static final Map<String, String> EVENTS =
            Map.of("content-type", "text/event-stream; charset=utf-8");
    private static final String HELLO =
            "data: {\"choices\":[{\"delta\":{\"content\":\"ra:0 \"}}]}\n\n"
                    + "data: {\"choices\":[{\"delta\":{\"content\":\"ra:1 \"}}]}\n\n"
                    + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,"
                    + "\"completion_tokens\":2}}\n\n";
    private static final ChatRequest REQUEST =
            new ChatRequest("key", "id", "a", "model", 2, 10, true, 0);

    private final List<Double> mGaps = new ArrayList<>();
    private final List<ChatReceipt> mReceipts = new ArrayList<>();
    private final ChatTry mTry =
            new ChatTry(REQUEST, "vm:1", 0, () -> 5_000_000, mGaps::add, mReceipts::add);

    @Test
    void wholeStream_cutAtEveryByte_isServed() {
        mTry.onHead(200, EVENTS);
        for (byte each : bytes(HELLO + "data: [DONE]\n\n")) {
            mTry.onData(new byte[] {each});
        }
        mTry.onEnd();

        assertThat(mReceipts).hasSize(1);
        assertThat(mReceipts.get(0).served()).isTrue();
        assertThat(mReceipts.get(0).text()).isEqualTo("ra:0 ra:1 ");
        assertThat(mReceipts.get(0).usage()).contains(new ChatReceipt.Usage(3, 2));
        assertThat(mReceipts.get(0).firstTokenMs()).isEqualTo(5.0);
        assertThat(mGaps).containsExactly(0.0);
    }

    @Test
    void streamWithoutItsLastEvent_isNotWhole() {
        mTry.onHead(200, EVENTS);
        mTry.onData(bytes(HELLO));
        mTry.onEnd();

        assertThat(mReceipts.get(0).whole()).isFalse();
    }

    @Test
    void lostConnection_isNotWhole() {
        mTry.onHead(200, EVENTS);
        mTry.onData(bytes(HELLO));
        mTry.onFailure(true, "reset");

        assertThat(mReceipts.get(0).served()).isFalse();
        assertThat(mReceipts.get(0).errorCode()).contains("connection_lost");
    }

    @Test
    void errorInStream_isNotServed() {
        mTry.onHead(200, EVENTS);
        mTry.onData(
                bytes(
                        "data: {\"error\":{\"code\":\"stream_broken\",\"retryable\":true,"
                                + "\"run_state\":\"ran\"}}\n\n"));
        mTry.onFailure(true, "reset");

        assertThat(mReceipts.get(0).errorCode()).contains("stream_broken");
        assertThat(mReceipts.get(0).runState()).isEqualTo("ran");
        assertThat(mReceipts.get(0).usage()).isEqualTo(Optional.empty());
    }

    @Test
    void refusal_tellsWhenToComeBack() {
        mTry.onHead(503, Map.of("content-type", "application/json", "retry-after-ms", "250"));
        mTry.onData(
                bytes(
                        "{\"error\":{\"code\":\"budget_unreachable\",\"retryable\":true,"
                                + "\"run_state\":\"not_run\"}}"));
        mTry.onEnd();

        ChatReceipt receipt = mReceipts.get(0);
        assertThat(receipt.status()).isEqualTo(503);
        assertThat(receipt.errorCode()).contains("budget_unreachable");
        assertThat(receipt.runState()).isEqualTo("not_run");
        assertThat(receipt.retryable()).isTrue();
        assertThat(receipt.retryAfterMs()).isEqualTo(250);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
