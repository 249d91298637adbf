package org.clementineford.transport.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes the requests of one connection to the handler, one at a time and in order. */
final class HttpServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** User event: close the connection when the requests that were read have been answered. */
  static final Object CLOSE_WHEN_ANSWERED = new Object();

  private static final Logger LOG = LoggerFactory.getLogger(HttpServerConnection.class);
  private static final int MAX_PIPELINED_REQUESTS = 64;

  private final HttpHandler handler;
  private final ArrayDeque<ServerExchange> waitingExchanges = new ArrayDeque<>();
  private ServerExchange current;
  private boolean closing;

  HttpServerConnection(HttpHandler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
    if (waitingExchanges.size() >= MAX_PIPELINED_REQUESTS) {
      context.close();
      return;
    }
    Map<String, String> headers = new HashMap<>();
    message.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    HttpRequest request =
        new HttpRequest(
            message.method().name(),
            message.uri(),
            headers,
            ByteBufUtil.getBytes(message.content()));
    boolean malformed = message.decoderResult().isFailure();
    if (malformed) {
      LOG.atInfo()
          .addKeyValue("caller", context.channel().remoteAddress())
          .addKeyValue("reason", message.decoderResult().cause().getMessage())
          .log("malformed request refused");
    }
    boolean keepAlive = !malformed && HttpUtil.isKeepAlive(message);
    waitingExchanges.add(new ServerExchange(context, request, malformed, keepAlive));
    startNext();
  }

  private void startNext() {
    if (current == null && !waitingExchanges.isEmpty()) {
      current = waitingExchanges.poll();
      if (current.malformed) {
        current.respond(HttpResponseStatus.BAD_REQUEST.code(), Map.of(), new byte[0]);
      } else {
        handler.handle(current);
      }
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event == CLOSE_WHEN_ANSWERED) {
      closing = true;
      closeIfAnswered(context);
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  private void closeIfAnswered(ChannelHandlerContext context) {
    if (closing && current == null && waitingExchanges.isEmpty()) {
      context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null && context.channel().isWritable()) {
      current.handleWritable();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (current != null) {
      current.handleClosed();
    }
    if (!waitingExchanges.isEmpty()) {
      LOG.atInfo()
          .addKeyValue("caller", context.channel().remoteAddress())
          .addKeyValue("requests", waitingExchanges.size())
          .log("connection closed with requests that were read and not handled");
    }
    waitingExchanges.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("closing connection from {}", context.channel().remoteAddress(), cause);
    context.close();
  }

  private final class ServerExchange implements HttpExchange {
    private final ChannelHandlerContext context;
    private final HttpRequest request;
    private final boolean malformed;
    private final boolean keepAlive;
    private Runnable closedAction;
    private Runnable writableAction;
    private boolean started;
    private boolean ended;
    private boolean closed;

    ServerExchange(
        ChannelHandlerContext context, HttpRequest request, boolean malformed, boolean keepAlive) {
      this.context = context;
      this.request = request;
      this.malformed = malformed;
      this.keepAlive = keepAlive;
    }

    @Override
    public HttpRequest request() {
      return request;
    }

    @Override
    public synchronized void respond(int status, Map<String, String> headers, byte[] body) {
      if (started || ended) {
        return;
      }
      ended = true;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(body));
      setHeaders(response.headers(), headers);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      end(context.writeAndFlush(response));
    }

    @Override
    public synchronized void start(int status, Map<String, String> headers) {
      if (started || ended) {
        return;
      }
      started = true;
      DefaultHttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
      setHeaders(response.headers(), headers);
      response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      context.writeAndFlush(response);
    }

    private void setHeaders(HttpHeaders target, Map<String, String> headers) {
      headers.forEach(target::set);
      if (!keepAlive) {
        target.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
    }

    @Override
    public synchronized void write(byte[] bytes) {
      if (started && !ended && bytes.length > 0) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
      }
    }

    @Override
    public synchronized void finish() {
      if (started && !ended) {
        ended = true;
        end(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
      }
    }

    private void end(ChannelFuture written) {
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      context
          .executor()
          .execute(
              () -> {
                if (current == this) {
                  current = null;
                  startNext();
                  closeIfAnswered(context);
                }
              });
    }

    @Override
    public synchronized void abort() {
      ended = true;
      context.close();
    }

    @Override
    public void onClosed(Runnable action) {
      synchronized (this) {
        if (!closed) {
          closedAction = action;
          return;
        }
      }
      action.run();
    }

    @Override
    public boolean isWritable() {
      return context.channel().isWritable();
    }

    @Override
    public synchronized void onWritable(Runnable action) {
      writableAction = action;
    }

    void handleWritable() {
      Runnable action;
      synchronized (this) {
        action = ended ? null : writableAction;
      }
      if (action != null) {
        action.run();
      }
    }

    void handleClosed() {
      Runnable action;
      synchronized (this) {
        if (ended || closed) {
          return;
        }
        closed = true;
        action = closedAction;
      }
      if (action != null) {
        action.run();
      }
    }
  }
}
