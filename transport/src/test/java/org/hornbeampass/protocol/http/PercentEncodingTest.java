package org.hornbeampass.protocol.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.QueryStringDecoder;

import org.hornbeampass.protocol.platform.PlatformPaths;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.net.URI;

/** Checks that each text is read back from a target as it was. */
class PercentEncodingTest {
    private static final URI HOST = URI.create("http://127.0.0.1:80");

    @ParameterizedTest
    @ValueSource(
            strings = {
                "i-1",
                "a%41 +&=#?;:@",
                "a/../b",
                ".",
                "..",
                "~*'\"\\|<>{}^`[]",
                "\u0001\t\u007f",
                "\u00e9\ufb01\ud83d\ude00"
            })
    void anyText_isReadBackAsItWas(String text) {
        String path = "/objects/" + PercentEncoding.pathSegment(text);
        URI target = HOST.resolve(path + "?after=" + PercentEncoding.queryValue(text));
        QueryStringDecoder decoder =
                new QueryStringDecoder(target.getRawPath() + "?" + target.getRawQuery());
        assertThat(decoder.path()).isEqualTo("/objects/" + text);
        assertThat(decoder.parameters().get("after")).containsExactly(text);
    }

    /** Guards against a call about one object that reaches another. */
    @Test
    void keyWithDotSegments_isNotResolved() {
        URI target = HOST.resolve(PlatformPaths.object("vms/../log/."));
        assertThat(new QueryStringDecoder(target.getRawPath()).path())
                .isEqualTo("/v1/objects/vms/../log/.");
        assertThat(target.getRawPath()).isEqualTo("/v1/objects/vms/%2E%2E/log/%2E");
    }

    @Test
    void surrogateWithoutItsPair_isRejected() {
        assertThat(PercentEncoding.isEncodable("a\ud800")).isFalse();
        assertThatThrownBy(() -> PercentEncoding.queryValue("a\ud800"))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
