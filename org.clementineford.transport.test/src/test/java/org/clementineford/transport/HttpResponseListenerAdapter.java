package org.clementineford.transport;

import java.util.Map;
import org.clementineford.transport.http.HttpResponseListener;

/** Base class of listeners in tests: ignores every event that a subclass does not override. */
class HttpResponseListenerAdapter implements HttpResponseListener {
  @Override
  public void onHead(int status, Map<String, String> headers) {}

  @Override
  public void onBody(byte[] bytes) {}

  @Override
  public void onEnd() {}

  @Override
  public void onFailure(ExchangeFailure failure, String cause) {}
}
