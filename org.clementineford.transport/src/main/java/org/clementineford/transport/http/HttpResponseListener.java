package org.clementineford.transport.http;

import java.util.Map;
import org.clementineford.transport.ExchangeFailure;

/** Receives a response in parts. Called on the event loop of the connection. */
public interface HttpResponseListener {
  /**
   * Called once with the status and headers, before the body.
   *
   * @param status HTTP status
   * @param headers headers by name; the lookup ignores case
   */
  void onHead(int status, Map<String, String> headers);

  /**
   * Called for each part of the body.
   *
   * @param bytes the part
   */
  void onBody(byte[] bytes);

  /** Called once after the complete response was received. */
  void onEnd();

  /**
   * Called once if the request fails before the response has ended. No method is called afterwards.
   *
   * @param failure whether the server may have received the request
   * @param cause description of the cause for logs and error messages
   */
  void onFailure(ExchangeFailure failure, String cause);
}
