package org.clementineford.serving.model;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name name of the account
 * @param priority rank that replaces the route's rank; empty if the route's rank holds
 */
public record ClientAccount(String name, OptionalInt priority) {}
