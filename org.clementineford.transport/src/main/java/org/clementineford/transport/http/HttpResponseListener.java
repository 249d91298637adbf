package org.clementineford.transport.http;

import java.util.Map;
import org.clementineford.transport.ExchangeFailure;

/** Receives a response in parts, on the connection's thread. */
public interface HttpResponseListener {
  /**
   * Called first.
   *
   * @param status HTTP status
   * @param headers headers by name; look-up ignores case
   */
  void onHead(int status, Map<String, String> headers);

  /**
   * Called for each part of the body.
   *
   * @param bytes the part
   */
  void onBody(byte[] bytes);

  /** Called once after the whole response was received. */
  void onEnd();

  /**
   * Called once if the response did not end; nothing is called after it.
   *
   * @param failure what is known about the request
   * @param cause text for logs
   */
  void onFailure(ExchangeFailure failure, String cause);
}
