package org.hornbeampass.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Tests that whatever callers send, nothing escapes the connection and its bounds hold. */
class HttpInputProperties {
    private static final byte[] EMPTY = new byte[0];

    @Property(seed = "7402", tries = 2000)
    void anyInput_isHeldWithinBounds(@ForAll("input") List<byte[]> reads) {
        ServerStatus status = new ServerStatus();
        EmbeddedServer server =
                new EmbeddedServer(
                        status, (now, exchange) -> exchange.respond(200, Map.of(), EMPTY));

        for (byte[] read : reads) {
            server.send(read);
            assertThat(status.inFlight()).isBetween(0, 1);
        }

        server.checkException();
        server.arrived().forEach(e -> assertThat(e.body()).hasSizeLessThanOrEqualTo(100));
        server.hangUp();
        assertThat(status.inFlight()).isZero();
    }

    @Provide
    Arbitrary<List<byte[]>> input() {
        Arbitrary<byte[]> pieces =
                Arbitraries.of(
                                "GET / HTTP/1.1\r\n",
                                "POST /a?b=%zz HTTP/1.1\r\n",
                                "HEAD * HTTP/1.0\r\n",
                                "host: a\r\n",
                                "content-length: 5\r\n",
                                "content-length: 99999999999999999999\r\n",
                                "content-length: -1\r\n",
                                "transfer-encoding: chunked\r\n",
                                "expect: 100-continue\r\n",
                                "connection: close\r\n",
                                "\r\n",
                                "5\r\nhello\r\n",
                                "ffffffffffffffff\r\n",
                                "0\r\n\r\n",
                                "hello",
                                "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
                                "x".repeat(250))
                        .map(t -> t.getBytes(StandardCharsets.ISO_8859_1));
        Arbitrary<byte[]> noise = Arbitraries.bytes().array(byte[].class).ofMaxSize(40);
        return Arbitraries.oneOf(pieces, pieces, pieces, noise).list().ofMaxSize(12);
    }
}
