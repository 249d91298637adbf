package org.clementineford.standins.internal;

import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.Scheduler;
import org.clementineford.standins.Counters;
import org.clementineford.standins.WeightContent;
import org.clementineford.transport.http.HttpExchange;

/**
 * Sends a range of weights in pieces, limited to the bandwidth of a link that all transfers share.
 */
public final class RangeTransfer {
  private static final int PIECE_BYTES = 1 << 16;
  private static final long WRITABLE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final HttpExchange exchange;
  private final WeightContent content;
  private final RateLimiter link;
  private final Scheduler scheduler;
  private final Counters counters;
  private long position;
  private long end;
  private long stallAt;
  private boolean corrupt;
  private boolean reserved;
  private volatile boolean closed;

  /**
   * Creates a transfer.
   *
   * @param exchange the call; its response must have been started
   * @param content the weights
   * @param link rate limiter of the link
   * @param scheduler timers
   * @param counters counts {@code bytes}
   */
  public RangeTransfer(
      HttpExchange exchange,
      WeightContent content,
      RateLimiter link,
      Scheduler scheduler,
      Counters counters) {
    this.exchange = exchange;
    this.content = content;
    this.link = link;
    this.scheduler = scheduler;
    this.counters = counters;
  }

  /**
   * Sends the range.
   *
   * @param first first byte
   * @param end position after the last byte
   * @param corrupt true to change one byte
   * @param stall true to stop halfway and keep the connection open
   */
  public void send(long first, long end, boolean corrupt, boolean stall) {
    this.position = first;
    this.end = end;
    this.corrupt = corrupt;
    this.stallAt = stall ? first + (end - first) / 2 : Long.MAX_VALUE;
    exchange.onClosed(() -> closed = true);
    sendPieces();
  }

  private void sendPieces() {
    while (!closed) {
      if (position >= stallAt) {
        return;
      }
      if (position == end) {
        exchange.finish();
        return;
      }
      if (!exchange.isWritable()) {
        resumeAfter(WRITABLE_CHECK_NANOS);
        return;
      }
      int length = (int) Math.min(Math.min(PIECE_BYTES, end - position), stallAt - position);
      if (!reserved) {
        reserved = true;
        long wait = link.reserve(length);
        if (wait > 0) {
          resumeAfter(wait);
          return;
        }
      }
      reserved = false;
      write(length);
    }
  }

  private void write(int length) {
    byte[] piece = content.read(position, length);
    if (corrupt) {
      piece[length / 2] ^= 1;
      corrupt = false;
    }
    exchange.write(piece);
    counters.add("bytes", length);
    position += length;
  }

  private void resumeAfter(long nanos) {
    scheduler.schedule(this::sendPieces, nanos, TimeUnit.NANOSECONDS);
  }
}
