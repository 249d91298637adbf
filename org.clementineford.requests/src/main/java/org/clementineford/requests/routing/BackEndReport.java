package org.clementineford.requests.routing;

/**
 * Load of one back end of an endpoint, as the endpoint reported it.
 *
 * @param backEnd what the endpoint serves; the version is the one activated
 * @param name name of the back end in the endpoint's settings
 * @param running requests that run
 * @param queued requests that wait
 * @param slots requests that can run at a time, 1 or more
 * @param healthy false if the endpoint refuses work for it
 */
public record BackEndReport(
    BackEnd backEnd, String name, int running, int queued, int slots, boolean healthy) {}
