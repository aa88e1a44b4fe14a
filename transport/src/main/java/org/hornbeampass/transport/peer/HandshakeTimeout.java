package org.hornbeampass.transport.peer;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;

import org.hornbeampass.transport.Channels;

import java.util.concurrent.TimeUnit;

/**
 * Closes a channel whose handshake does not complete within the timeout.
 *
 * <p>Not thread-safe: used on one event loop.
 */
final class HandshakeTimeout {
    private final Future<?> mTimer;

    HandshakeTimeout(Channel channel, long timeoutMs) {
        mTimer =
                channel.eventLoop()
                        .schedule(() -> Channels.close(channel), timeoutMs, TimeUnit.MILLISECONDS);
    }

    void cancel() {
        mTimer.cancel(false);
    }
}
