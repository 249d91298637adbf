package org.clementineford.transport.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Records how the input of a client connection ended. The HTTP decoder ends a body without a length
 * whenever its channel closes, for any reason; such a body is complete only if the server ended the
 * connection in order. Stands before the decoder in the pipeline of a channel that allows half
 * closure, since only then is the end of the input reported apart from a close by this side, as
 * after a failed write. Not thread-safe.
 */
public final class InputEnd extends ChannelInboundHandlerAdapter {
  private enum State {
    OPEN,
    ORDERLY,
    LOST
  }

  private State state = State.OPEN;

  /**
   * Returns whether a message that has just been decoded completely is complete. True while the
   * input is open, since the message then has a length or a last chunk.
   *
   * @return false if the input ended by a reset, a failed write or a close of this side
   */
  public boolean completesMessage() {
    return state != State.LOST;
  }

  /**
   * Returns whether the server ended its output in order and may still read.
   *
   * @return true after an orderly end
   */
  public boolean isOrderly() {
    return state == State.ORDERLY;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event == ChannelInputShutdownEvent.INSTANCE && state == State.OPEN) {
      state = State.ORDERLY;
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    state = State.LOST;
    context.fireExceptionCaught(cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (state == State.OPEN) {
      state = State.LOST;
    }
    context.fireChannelInactive();
  }
}
