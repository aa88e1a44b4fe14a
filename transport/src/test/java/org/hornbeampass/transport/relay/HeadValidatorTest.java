package org.hornbeampass.transport.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

import org.hornbeampass.state.service.CallerLimits;
import org.junit.jupiter.api.Test;

/** Checks that heads which two programs could read differently are refused. */
class HeadValidatorTest {
    private static HttpRequest head(String uri) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri);
        head.headers().set("Host", "a");
        return head;
    }

    private static boolean refused(HttpRequest head) {
        return HeadValidator.validate(head, CallerLimits.DEFAULT).isPresent();
    }

    @Test
    void plainHead_isTaken() {
        HttpRequest head = head("/a");
        head.headers().set("Content-Length", "12");
        assertThat(refused(head)).isFalse();
    }

    @Test
    void ambiguousLength_isRefused() {
        HttpRequest both = head("/a");
        both.headers().set("Content-Length", "12").set("Transfer-Encoding", "chunked");
        HttpRequest twice = head("/a");
        twice.headers().add("Content-Length", "12").add("Content-Length", "13");
        HttpRequest signed = head("/a");
        signed.headers().set("Content-Length", "+12");
        HttpRequest coded = head("/a");
        coded.headers().set("Transfer-Encoding", "gzip, chunked");
        assertThat(refused(both)).isTrue();
        assertThat(refused(twice)).isTrue();
        assertThat(refused(signed)).isTrue();
        assertThat(refused(coded)).isTrue();
    }

    @Test
    void otherTargets_areRefused() {
        assertThat(refused(head("http://a/b"))).isTrue();
        HttpRequest connect =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.CONNECT, "/a");
        connect.headers().set("Host", "a");
        assertThat(refused(connect)).isTrue();
        HttpRequest noHost = head("/a");
        noHost.headers().remove("Host");
        assertThat(refused(noHost)).isTrue();
    }

    @Test
    void largeBody_isRefusedAtItsHead() {
        HttpRequest head = head("/a");
        head.headers().set("Content-Length", "4194305");
        assertThat(refused(head)).isTrue();
    }
}
