package org.clementineford.requests.routing;

/**
 * Load of one back end, as reported by its endpoint.
 *
 * @param backEnd identity of the back end, with the activated version
 * @param name name of the back end in the endpoint's settings
 * @param running number of running requests
 * @param queued number of waiting requests
 * @param slots number of requests that can run at a time, 1 or more
 * @param healthy false if the endpoint refuses requests for the back end
 */
public record BackEndReport(
    BackEndId backEnd, String name, int running, int queued, int slots, boolean healthy) {}
