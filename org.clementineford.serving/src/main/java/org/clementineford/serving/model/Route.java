package org.clementineford.serving.model;

import java.util.List;

/**
 * A route: the rules for requests to one host whose paths start with one prefix.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind kind of the requests, which determines whether they may be repeated
 * @param timeoutMs longest time until the answer is complete, in milliseconds
 * @param targetLatencyMs latency goal for the answer, or for its first event, in milliseconds
 * @param priority priority of the route, 0 is served first
 * @param shares services that serve the route, with their weights; not empty
 * @param maxAttempts largest number of endpoints to which one attempt of a caller may be sent
 * @param anonymous true if callers need no API key
 * @param resumable true if another endpoint can continue a stream that broke off
 * @param callerPatienceMs time after which callers leave if they have received nothing, in
 *     milliseconds
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
    boolean resumable,
    int callerPatienceMs) {
  /** Creates a route with an unmodifiable copy of the list of services. */
  public Route {
    shares = List.copyOf(shares);
  }

  /**
   * Chooses a service for one request, at random by weight.
   *
   * @param point random number in [0, 1); the same number chooses the same service
   * @return name of a service
   */
  public String chooseService(double point) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    double remaining = point * total;
    for (ServiceShare share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }

  /**
   * Returns whether a request that may have run may be sent again.
   *
   * @return false if a second run could have a second effect
   */
  public boolean mayRunAgain() {
    return kind.mayRunAgain(resumable);
  }
}
