package org.clementineford.configuration;

/**
 * Limits for the whole system.
 *
 * @param activationShare largest part of a data centre's VMs that may load weights at a time, above
 *     0 and at most 1; always at least one VM
 * @param transferLinkShare part of a link that transfers of weights may use, above 0 and at most 1
 * @param retryBudgetShare retries allowed for each first attempt, 0 to 1
 * @param requestTimeoutMs deadline of requests that name none, in milliseconds
 */
public record Policies(
    double activationShare,
    double transferLinkShare,
    double retryBudgetShare,
    long requestTimeoutMs) {
  /** Used where the document says nothing. */
  public static final Policies DEFAULT = new Policies(0.25, 0.8, 0.1, 30_000);
}
