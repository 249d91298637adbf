package org.clementineford.transport.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.clementineford.transport.ExchangeFailure;

/** Passes the parts of a response to the call that is in progress on the connection. */
final class HttpClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** Interim responses after which a server is taken to be faulty; sound ones send one or two. */
  private static final int MAX_INTERIM_RESPONSES = 10;

  private final InputEnd inputEnd;
  private final UnsolicitedInput unsolicitedInput;
  private final ResponseOverhead overhead;
  private HttpClientCall call;
  private ChannelFuture written;
  private boolean keepAlive;
  private boolean interim;
  private int interimResponses;
  private boolean awaitingWrite;

  HttpClientConnection(
      InputEnd inputEnd, UnsolicitedInput unsolicitedInput, ResponseOverhead overhead) {
    this.inputEnd = inputEnd;
    this.unsolicitedInput = unsolicitedInput;
    this.overhead = overhead;
  }

  /** Sets the call whose request is being written. */
  void setCall(HttpClientCall next, ChannelFuture requestWritten) {
    call = next;
    unsolicitedInput.setResponseExpected(true);
    overhead.startResponse();
    written = requestWritten;
    awaitingWrite = false;
    interimResponses = 0;
    requestWritten.addListener(result -> requestWritten(next, result.isSuccess()));
  }

  private void requestWritten(HttpClientCall writer, boolean completely) {
    if (!awaitingWrite || call != writer) {
      return;
    }
    if (completely) {
      end();
    } else {
      lose();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (call == null) {
      // The server sent data without a request, so the connection must not be used for another one.
      context.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      lose();
      context.close();
      return;
    }
    if (message instanceof HttpResponse response) {
      interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      if (interim) {
        countInterimResponse(context);
        return;
      }
      keepAlive = HttpUtil.isKeepAlive(response);
      call.handleHead(response);
    }
    if (interim) {
      return;
    }
    if (message instanceof HttpContent content && content.content().isReadable()) {
      overhead.addBody(content.content().readableBytes());
      call.handleBody(ByteBufUtil.getBytes(content.content()));
    }
    if (message instanceof LastHttpContent) {
      if (!inputEnd.completesMessage()) {
        lose();
      } else if (inputEnd.isOrderly() && !written.isDone()) {
        // A crash of the server may end its output first and reset what is written then.
        awaitingWrite = true;
      } else {
        end();
      }
    }
  }

  private void countInterimResponse(ChannelHandlerContext context) {
    interimResponses++;
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      lose();
      context.close();
    }
  }

  private void end() {
    final HttpClientCall ended = call;
    call = null;
    unsolicitedInput.setResponseExpected(false);
    overhead.endResponse();
    // The server reads the rest of a request that it has answered before any other one.
    boolean reusable = keepAlive && written.isDone() && !inputEnd.isOrderly();
    ended.handleEnd(written.channel(), reusable);
  }

  private void lose() {
    if (call != null) {
      HttpClientCall interrupted = call;
      call = null;
      interrupted.handleConnectionLost();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event == ChannelInputShutdownEvent.INSTANCE && !awaitingWrite) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    lose();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (call != null && cause instanceof TooLongFrameException) {
      call.fail(ExchangeFailure.UNKNOWN, cause.getMessage());
    }
    context.close();
  }
}
