package org.clementineford.transport.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.util.List;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.clementineford.wire.Frame;

/** Converts frames to and from length-prefixed bytes in Thrift's compact protocol. */
final class FrameCodec extends ByteToMessageCodec<Frame> {
  /** Maximum length of a frame in bytes. Chunks of weights are sent in smaller parts. */
  static final int MAX_FRAME_BYTES = 16 << 20;

  private static final int LENGTH_BYTES = Integer.BYTES;

  FrameCodec() {
    super(Frame.class);
  }

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws TException {
    int start = out.writerIndex();
    out.writeInt(0);
    ByteBufOutputStream stream = new ByteBufOutputStream(out);
    frame.write(new TCompactProtocol(new TIOStreamTransport(stream)));
    out.setInt(start, out.writerIndex() - start - LENGTH_BYTES);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws TException {
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      throw new TException(
          "frame length of "
              + length
              + " bytes is outside 1 to "
              + MAX_FRAME_BYTES
              + " bytes; check that the peer runs clementineford");
    }
    if (in.readableBytes() < LENGTH_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    Frame frame = new Frame();
    frame.read(
        new TCompactProtocol(new TIOStreamTransport(new ByteBufInputStream(in.readSlice(length)))));
    out.add(frame);
  }
}
