package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.nio.charset.StandardCharsets;

/** Checks where an answer without framing ends that another answer follows. */
class FollowingAnswerScannerTest {
    private static final int MAX_HEAD_BYTES = 200;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: q\r\nSeal: s\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private final FollowingAnswerScanner mScanner =
            new FollowingAnswerScanner(
                    MAX_HEAD_BYTES, head -> head.headers().contains("id", "q", false));
    private final StringBuilder mBody = new StringBuilder();

    private void receive(String part) {
        addToBody(mScanner.append(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1)));
    }

    private void addToBody(ByteBuf part) {
        mBody.append(part.toString(StandardCharsets.ISO_8859_1));
        part.release();
    }

    private String bodyOf(String... parts) {
        for (String part : parts) {
            if (mScanner.found().isEmpty()) {
                receive(part);
            }
        }
        addToBody(mScanner.end());
        return mBody.toString();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "body",
                "bodyHTTP/1.",
                "body\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nId: other\r\n\r\n",
                "HTTP/2 200 H HT HTTP/1.x HTTP/1.1 2x0",
                EVENT
            })
    void headInTwoPieces_endsTheAnswerWhereverItIsDivided(String body) {
        String input = body + HEAD + body;
        for (int i = 0; i <= input.length(); i++) {
            FollowingAnswerScannerTest each = new FollowingAnswerScannerTest();
            assertThat(each.bodyOf(input.substring(0, i), input.substring(i))).isEqualTo(body);
            assertThat(each.mScanner.found().map(HttpResponse::status))
                    .hasValueSatisfying(status -> assertThat(status.code()).isEqualTo(200));
        }
    }

    @Test
    void headOfSingleBytes_endsTheAnswer() {
        assertThat(bodyOf(("body" + HEAD + "body").split(""))).isEqualTo("body");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nId: q\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: other\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno header\r\nId: q\r\n\r\n",
                "HTTP/1.1 2000\r\nId: other\r\n\r\n",
                "GET / HTTP/1.1\r\nId: q\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: q",
                "HTTP/1.1 200 OK\r\nId: other\r\nSeal",
                "HTTP/1.",
                "data: HTTP/1.1 200 OK\n\n"
            })
    void textThatIsNoAnswer_isPartOfTheBodyWhereverItIsDivided(String text) {
        for (int i = 0; i <= text.length(); i++) {
            FollowingAnswerScannerTest each = new FollowingAnswerScannerTest();
            assertThat(each.bodyOf(text.substring(0, i), text.substring(i))).isEqualTo(text);
            assertThat(each.mScanner.found()).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Seal: s\r\n", "Seal: s", "\r"})
    void headThatTheEndCutsAfterItsId_isNotPartOfTheBody(String rest) {
        String input = "bodyHTTP/1.1 200 OK\r\nId: q\r\n" + rest;
        for (int i = 0; i <= input.length(); i++) {
            FollowingAnswerScannerTest each = new FollowingAnswerScannerTest();
            assertThat(each.bodyOf(input.substring(0, i), input.substring(i))).isEqualTo("body");
            assertThat(each.mScanner.found()).isPresent();
        }
    }

    @Test
    void eventThatQuotesAnAnswer_isNotHeldBeyondItsEnd() {
        receive("data: HTTP/1.1 200 OK\ndata: x\n");
        assertThat(mBody.toString()).isEqualTo("data: ");
        receive("\n");
        assertThat(mBody.toString()).isEqualTo("data: HTTP/1.1 200 OK\ndata: x\n\n");
        bodyOf();
    }

    @Test
    void textThatNeverEndsLikeAHead_isHeldWithinTheBound() {
        String text = "HTTP/1.1 200 OK\r\n" + "name: HTTP/1.1 200 OK\r\n".repeat(1_000);
        for (int i = 0; i < text.length(); i++) {
            receive(text.substring(i, i + 1));
            assertThat(i + 1 - mBody.length()).isLessThanOrEqualTo(MAX_HEAD_BYTES);
        }
        assertThat(bodyOf()).isEqualTo(text);
    }
}
