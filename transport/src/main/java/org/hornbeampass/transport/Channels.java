package org.hornbeampass.transport;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;

/**
 * Operations on channels whose outcome shows in the channel's own events.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class Channels {
    private Channels() {}

    /** Closes a channel; its handlers hear of it by {@code channelInactive}. */
    public static void close(Channel channel) {
        var unused = channel.close();
    }

    /** Writes a message and flushes; a failure closes the channel. */
    public static void send(Channel channel, Object message) {
        var unused =
                channel.writeAndFlush(message)
                        .addListener(
                                written -> {
                                    if (!written.isSuccess()) {
                                        close(channel);
                                    }
                                });
    }

    /** Closes this side of a channel once what was written has gone out. */
    public static void shutdownOutput(DuplexChannel channel) {
        var unused = channel.shutdownOutput();
    }
}
