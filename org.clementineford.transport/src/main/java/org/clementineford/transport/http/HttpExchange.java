package org.clementineford.transport.http;

import java.util.Map;

/** A request that the server received, and its response. Methods may be called from any thread. */
public interface HttpExchange {
  /**
   * Returns the request.
   *
   * @return the whole request
   */
  HttpRequest request();

  /**
   * Sends a whole response.
   *
   * @param status HTTP status
   * @param headers further headers
   * @param body the body
   */
  void respond(int status, Map<String, String> headers, byte[] body);

  /**
   * Starts a response whose body follows in parts.
   *
   * @param status HTTP status
   * @param headers further headers
   */
  void start(int status, Map<String, String> headers);

  /**
   * Sends a part of the body.
   *
   * @param bytes the part; the caller must not change the array afterwards
   */
  void write(byte[] bytes);

  /** Ends a response that was started. */
  void finish();

  /**
   * Closes the connection. A response that was started then lacks its end, so the caller sees that
   * it is not whole.
   */
  void abort();

  /**
   * Sets what runs when the connection is lost before the response ended. Runs at once if that has
   * happened already.
   *
   * @param action the action
   */
  void onClosed(Runnable action);

  /**
   * Tells whether the connection accepts more bytes without queueing them in memory.
   *
   * @return false if the sender should wait
   */
  boolean isWritable();

  /**
   * Sets what runs each time the connection becomes writable again while this request is answered.
   *
   * @param action the action, on the connection's thread
   */
  void onWritable(Runnable action);
}
