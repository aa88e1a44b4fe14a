package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.junit.jupiter.api.Test;

/** Checks which part of an answer marks its end. */
class AnswerFramingTest {
    private static HttpResponse answer(int status) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    }

    private static HttpResponse answer(int status, String header, String value) {
        HttpResponse answer = answer(status);
        answer.headers().set(header, value);
        return answer;
    }

    @Test
    void answerWithoutLengthAndChunks_endsWithItsConnection() {
        AnswerFraming framing = AnswerFraming.of(HttpMethod.POST, answer(200));
        assertThat(framing).isEqualTo(AnswerFraming.CONNECTION_CLOSE);
        assertThat(framing.isExplicit()).isFalse();
    }

    @Test
    void chunksGoBeforeALength() {
        HttpResponse both = answer(200, "transfer-encoding", "chunked");
        both.headers().set("content-length", 4);
        assertThat(AnswerFraming.of(HttpMethod.POST, both)).isEqualTo(AnswerFraming.CHUNKED);
        assertThat(AnswerFraming.of(HttpMethod.POST, answer(200, "content-length", "4")))
                .isEqualTo(AnswerFraming.LENGTH);
    }

    @Test
    void headAndStatusesWithoutABody_haveNone() {
        assertThat(AnswerFraming.of(HttpMethod.HEAD, answer(200))).isEqualTo(AnswerFraming.NO_BODY);
        assertThat(AnswerFraming.of(HttpMethod.GET, answer(204))).isEqualTo(AnswerFraming.NO_BODY);
        assertThat(AnswerFraming.of(HttpMethod.GET, answer(304))).isEqualTo(AnswerFraming.NO_BODY);
    }
}
