package org.hornbeampass.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

import org.hornbeampass.coordination.buffer.BufferLimit;

/**
 * Makes reads smaller the closer the bytes that the VM holds come to their bound, for event loop
 * iterations in which thousands of connections are read before any is paused.
 *
 * <p>Confined to one event loop.
 */
final class BoundedReads implements RecvByteBufAllocator {
    private final BufferLimit mLimit;
    private final RecvByteBufAllocator mAdaptive;

    /**
     * Creates the allocator.
     *
     * @param limit bounds what one read may bring
     * @param adaptive determines the sizes of reads below that
     */
    BoundedReads(BufferLimit limit, AdaptiveRecvByteBufAllocator adaptive) {
        mLimit = limit;
        mAdaptive = adaptive;
    }

    @Override
    @SuppressWarnings("deprecation") // The type of the handle is what the interface names.
    public Handle newHandle() {
        return new DelegatingHandle(mAdaptive.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return allocator.ioBuffer(guess());
            }

            @Override
            public int guess() {
                return Math.min(super.guess(), mLimit.maxReadBytes());
            }
        };
    }
}
