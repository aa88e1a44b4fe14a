package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes that the connections to whose pipelines it is added read and write.
 *
 * <p>Must be the first handler of a pipeline. Invariant: counts never decrease. Thread-safe.
 */
@ChannelHandler.Sharable
public final class LinkBytes extends ChannelDuplexHandler {
    private final LongAdder mRead = new LongAdder();
    private final LongAdder mWritten = new LongAdder();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            mRead.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            mWritten.add(bytes.readableBytes());
        }
        var unused = context.write(message, promise); // Its result goes to the promise.
    }

    /** Returns the number of bytes that were read. */
    public long read() {
        return mRead.sum();
    }

    /** Returns the number of bytes that were handed over to be written. */
    public long written() {
        return mWritten.sum();
    }
}
