package org.clementineford.standins;

import java.util.Map;
import org.clementineford.transport.ExchangeFailure;
import org.clementineford.transport.http.HttpResponseListener;

/** Response listener that ignores the response. */
final class IgnoringListener implements HttpResponseListener {
  @Override
  public void onHead(int status, Map<String, String> headers) {}

  @Override
  public void onBody(byte[] bytes) {}

  @Override
  public void onEnd() {}

  @Override
  public void onFailure(ExchangeFailure failure, String cause) {}
}
