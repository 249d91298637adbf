package org.clementineford.serving.model;

import java.util.OptionalInt;

/**
 * A client account as the routing configuration describes it.
 *
 * @param name name of the account
 * @param priority priority that replaces the priority of the route, 0 is served first; empty to
 *     keep that of the route
 */
public record RoutingClientAccount(String name, OptionalInt priority) {}
