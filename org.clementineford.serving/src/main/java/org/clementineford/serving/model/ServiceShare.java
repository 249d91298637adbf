package org.clementineford.serving.model;

/**
 * Part of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route
 */
public record ServiceShare(String service, int weight) {}
