package org.clementineford.transport;

import java.util.Map;
import org.clementineford.transport.http.HttpResponseListener;

/** Ignores the response. */
class IgnoringListener implements HttpResponseListener {
  @Override
  public void onHead(int status, Map<String, String> headers) {}

  @Override
  public void onBody(byte[] bytes) {}

  @Override
  public void onEnd() {}

  @Override
  public void onFailure(ExchangeFailure failure, String cause) {}
}
