package org.clementineford.gateway.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import java.util.function.Supplier;
import org.clementineford.serving.model.CallerLimits;

/** Applies the limit of bodies that is in force when a request begins to arrive. */
final class RequestBodyLimit extends ChannelInboundHandlerAdapter {
  private final Supplier<CallerLimits> limits;
  private final CallerConnection connection;
  private RequestAggregator aggregator;

  RequestBodyLimit(Supplier<CallerLimits> limits, CallerConnection connection) {
    this.limits = limits;
    this.connection = connection;
    this.aggregator = new RequestAggregator(limits.get().maxBodyBytes(), connection);
  }

  /** Returns the handler that reads whole requests, to follow this one in the pipeline. */
  RequestAggregator aggregator() {
    return aggregator;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    int limit = limits.get().maxBodyBytes();
    if (message instanceof HttpRequest && aggregator.maxContentLength() != limit) {
      RequestAggregator next = new RequestAggregator(limit, connection);
      context.pipeline().replace(aggregator, null, next);
      aggregator = next;
    }
    context.fireChannelRead(message);
  }
}
