package org.clementineford.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.platform.VmList;
import org.clementineford.transport.http.HttpClient;

/** HTTP client of the VM list. A call fails as UNAVAILABLE after 2 s without a response. */
public final class HttpVmList implements VmList {
  private static final String SUBJECT = "the VM list";
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final HttpCalls calls;

  /**
   * Creates an adapter.
   *
   * @param client client for the calls
   * @param address address of the VM list
   */
  public HttpVmList(HttpClient client, HostPort address) {
    this.calls = new HttpCalls(client, address);
  }

  @Override
  public CompletableFuture<List<Entry>> read() {
    return HttpCalls.convert(
        calls.read("/vms", SUBJECT, HttpCalls.TIMEOUT_MS),
        response -> {
          if (response.status() != 200) {
            throw calls.readFailed(SUBJECT, "status " + response.status());
          }
          try {
            return JSON.readValue(response.body(), new TypeReference<List<Entry>>() {});
          } catch (IOException e) {
            throw calls.malformed(ErrorKind.UNAVAILABLE, SUBJECT, e.getMessage());
          }
        });
  }
}
