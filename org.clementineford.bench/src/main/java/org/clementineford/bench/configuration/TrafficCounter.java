package org.clementineford.bench.configuration;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;
import org.clementineford.transport.LinkShaping;

/** Counts the TCP payload of all connections of one process, in both directions. */
final class TrafficCounter implements LinkShaping {
  private final LongAdder sent = new LongAdder();
  private final LongAdder received = new LongAdder();

  long total() {
    return sent.sum() + received.sum();
  }

  @Override
  public void shape(ChannelPipeline pipeline) {
    pipeline.addLast(
        new ChannelDuplexHandler() {
          @Override
          public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
              received.add(bytes.readableBytes());
            }
            context.fireChannelRead(message);
          }

          @Override
          public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
              sent.add(bytes.readableBytes());
            }
            context.write(message, promise);
          }
        });
  }
}
