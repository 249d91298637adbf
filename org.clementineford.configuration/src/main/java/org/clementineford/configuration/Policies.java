package org.clementineford.configuration;

/**
 * System-wide limits.
 *
 * @param activationShare maximum fraction of a data centre's VMs that may load weights at the same
 *     time, above 0 and at most 1; at least one VM is always allowed
 * @param transferLinkShare fraction of a link's bandwidth that weight transfers may use, above 0
 *     and at most 1
 * @param retryBudgetShare number of retries allowed per first attempt, from 0 to 1
 * @param requestTimeoutMs timeout of requests that do not specify one, in milliseconds
 */
public record Policies(
    double activationShare,
    double transferLinkShare,
    double retryBudgetShare,
    long requestTimeoutMs) {
  /** Values for policies that the document does not set. */
  public static final Policies DEFAULT = new Policies(0.25, 0.8, 0.1, 30_000);
}
