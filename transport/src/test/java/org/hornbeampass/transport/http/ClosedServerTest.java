package org.hornbeampass.transport.http;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.hornbeampass.transport.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Guards against a closed server that still accepts connections and resets them. */
@Timeout(60)
class ClosedServerTest {
    private static final int CLOSES = 500;

    private final Clock mClock = Clock.monotonic();

    @Test
    void connectionAfterTheClose_isRefused() throws Exception {
        for (int i = 0; i < CLOSES; i++) {
            HttpServer server =
                    NettyHttpServer.start(
                            HttpServerSettings.loopback(), mClock, (nowMs, exchange) -> {});
            InetSocketAddress address = server.address();
            server.close().get();
            assertThatThrownBy(() -> connect(address)).isInstanceOf(ConnectException.class);
        }
    }

    /** Connects from another IP address, since a socket may connect to itself at its own. */
    private static void connect(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket()) {
            socket.bind(new InetSocketAddress("127.0.0.9", 0));
            socket.connect(address);
        }
    }
}
