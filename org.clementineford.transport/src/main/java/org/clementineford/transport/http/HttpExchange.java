package org.clementineford.transport.http;

import java.util.Map;

/** A request received by the server, together with its response. All methods are thread-safe. */
public interface HttpExchange {
  /**
   * Returns the request.
   *
   * @return the request with its complete body
   */
  HttpRequest request();

  /**
   * Sends a complete response.
   *
   * @param status HTTP status
   * @param headers headers in addition to those set by the server
   * @param body the complete body
   */
  void respond(int status, Map<String, String> headers, byte[] body);

  /**
   * Starts a response whose body is sent in parts with {@link #write}.
   *
   * @param status HTTP status
   * @param headers headers in addition to those set by the server
   */
  void start(int status, Map<String, String> headers);

  /**
   * Sends a part of the body.
   *
   * @param bytes part of the body; the caller must not change the array afterwards
   */
  void write(byte[] bytes);

  /** Ends a response that was started with {@link #start}. */
  void finish();

  /**
   * Closes the connection. The client detects that a response that was started is incomplete,
   * because its end is missing.
   */
  void abort();

  /**
   * Sets the action to run when the connection is lost before the response has ended. If that has
   * happened already, the action runs immediately.
   *
   * @param action the action
   */
  void onClosed(Runnable action);

  /**
   * Returns whether the connection accepts more bytes without queueing them in memory.
   *
   * @return false if the sender should wait for {@link #onWritable}
   */
  boolean isWritable();

  /**
   * Sets the action to run each time the connection becomes writable again before the response has
   * ended.
   *
   * @param action the action, run on the event loop of the connection
   */
  void onWritable(Runnable action);
}
