package org.hornbeampass.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;

import org.hornbeampass.protocol.peer.FrameHeader;
import org.hornbeampass.protocol.peer.Handshake;

import java.util.List;

/**
 * Encodes and decodes the frames of a connection, and counts them.
 *
 * <p>Invariants: a frame larger than the current maximum is never buffered; the maximum is that of
 * a handshake frame until {@link #setMaxFrameBytes} is called; after a frame with an invalid length
 * nothing more is decoded. Not thread-safe: used on one event loop.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {
    private final PeerCounters mCounters;
    private int mMaxBytes = Handshake.MAX_FRAME_BYTES;
    private boolean mCorrupted;

    FrameCodec(PeerCounters counters) {
        mCounters = counters;
    }

    /** Raises the maximum frame size once the other side has proved that it holds the key. */
    void setMaxFrameBytes(int maxFrameBytes) {
        mMaxBytes = maxFrameBytes;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
        FrameHeader header = frame.header();
        out.ensureWritable(frame.wireBytes());
        out.writeInt(FrameHeader.BYTES + frame.body().length);
        out.writeByte(header.version());
        out.writeByte(header.kindNumber());
        out.writeShort(header.typeNumber());
        out.writeLong(header.correlation());
        out.writeBytes(frame.body());
        mCounters.recordSent(frame.wireBytes());
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (mCorrupted) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < FrameHeader.BYTES || length > mMaxBytes) {
            mCorrupted = true;
            mCounters.recordMalformed();
            throw new CorruptedFrameException(
                    "frame of " + length + " bytes, where at most " + mMaxBytes + " are allowed");
        }
        if (in.readableBytes() < Integer.BYTES + length) {
            return;
        }
        in.skipBytes(Integer.BYTES);
        FrameHeader header =
                new FrameHeader(
                        in.readUnsignedByte(),
                        in.readUnsignedByte(),
                        in.readUnsignedShort(),
                        in.readLong());
        byte[] body = new byte[length - FrameHeader.BYTES];
        in.readBytes(body);
        Frame frame = new Frame(header, body);
        mCounters.recordReceived(frame.wireBytes());
        out.add(frame);
    }
}
