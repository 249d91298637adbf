package org.clementineford.serving.model;

import java.util.List;

/**
 * Requests of one host whose paths start with one prefix.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs longest time until the final answer
 * @param targetLatencyMs time within which the answer, or its first event, is worth most
 * @param priority rank of the route, 0 is served first
 * @param shares services that serve the route; not empty
 * @param maxAttempts most endpoints that one attempt of a caller may be sent to
 * @param anonymous true if callers need no key
 * @param resumable true if streams continue at another endpoint
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    int timeoutMs,
    int targetLatencyMs,
    int priority,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean anonymous,
    boolean resumable) {
  /** Copies the list of services. */
  public Route {
    shares = List.copyOf(shares);
  }

  /**
   * Chooses the service of one request.
   *
   * @param point number of at least 0 and below 1; equal numbers choose equal services
   * @return name of a service
   */
  public String service(double point) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    double rest = point * total;
    for (ServiceShare share : shares) {
      rest -= share.weight();
      if (rest < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }

  /**
   * Tells whether a request that may have run can be sent again.
   *
   * @return false if a second run could have a second effect
   */
  public boolean mayRunAgain() {
    return kind.mayRunAgain(resumable);
  }
}
