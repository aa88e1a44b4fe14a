package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.state.service.CallerLimits;
import org.junit.jupiter.api.Test;

/** Checks that heads which two programs could interpret differently are rejected. */
class HeadValidatorTest {
    private static HttpRequest head(String uri) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri);
        head.headers().set("Host", "a");
        return head;
    }

    private static boolean isRejected(HttpRequest head) {
        return HeadValidator.validate(head, CallerLimits.DEFAULT).isPresent();
    }

    @Test
    void plainHead_isAccepted() {
        HttpRequest head = head("/a");
        head.headers().set("Content-Length", "12");
        assertThat(isRejected(head)).isFalse();
    }

    @Test
    void ambiguousLength_isRejected() {
        HttpRequest both = head("/a");
        both.headers().set("Content-Length", "12").set("Transfer-Encoding", "chunked");
        HttpRequest twice = head("/a");
        twice.headers().add("Content-Length", "12").add("Content-Length", "13");
        HttpRequest signed = head("/a");
        signed.headers().set("Content-Length", "+12");
        HttpRequest coded = head("/a");
        coded.headers().set("Transfer-Encoding", "gzip, chunked");
        assertThat(isRejected(both)).isTrue();
        assertThat(isRejected(twice)).isTrue();
        assertThat(isRejected(signed)).isTrue();
        assertThat(isRejected(coded)).isTrue();
    }

    @Test
    void targetsThatAreNoPathAndMissingHost_areRejected() {
        assertThat(isRejected(head("http://a/b"))).isTrue();
        HttpRequest connect =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.CONNECT, "/a");
        connect.headers().set("Host", "a");
        assertThat(isRejected(connect)).isTrue();
        HttpRequest noHost = head("/a");
        noHost.headers().remove("Host");
        assertThat(isRejected(noHost)).isTrue();
    }

    @Test
    void tooLargeContentLength_isRejectedAtTheHead() {
        HttpRequest head = head("/a");
        head.headers().set("Content-Length", "4194305");
        assertThat(isRejected(head)).isTrue();
    }
}
