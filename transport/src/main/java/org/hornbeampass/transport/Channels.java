package org.hornbeampass.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Channel operations whose futures are ignored, as the channel's events report the outcome.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class Channels {
    /** The value of {@code SO_LINGER} with which a close sends what was written. */
    public static final int LINGER_OFF = -1;

    private Channels() {}

    /** Closes a channel; its handlers are notified by {@code channelInactive}. */
    public static void close(Channel channel) {
        var unused = channel.close();
    }

    /**
     * Closes a listening channel; the future is completed once its address refuses connections. The
     * JDK releases the address in the next turn of the event loop, and accepts connections until
     * then, which it resets.
     */
    public static CompletableFuture<Void> closeListener(Channel listener) {
        CompletableFuture<Void> released = new CompletableFuture<>();
        var unused =
                listener.close()
                        .addListener(
                                closed ->
                                        listener.eventLoop()
                                                .schedule(() -> {}, 1, TimeUnit.MILLISECONDS)
                                                .addListener(done -> released.complete(null)));
        return released;
    }

    /** Writes and flushes a message; closes the channel if that fails. */
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

    /** Shuts down the output of a channel after all earlier writes. */
    public static void shutdownOutput(DuplexChannel channel) {
        var unused = channel.shutdownOutput();
    }

    /**
     * Sets, unless the channel is closed already, whether a close sends what was written (-1) or
     * resets the connection (0).
     *
     * @param seconds the value of {@code SO_LINGER}
     */
    public static void setLinger(Channel channel, int seconds) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, seconds);
        }
    }
}
