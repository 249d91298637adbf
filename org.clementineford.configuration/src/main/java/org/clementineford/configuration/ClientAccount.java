package org.clementineford.configuration;

/**
 * A client account and its share relative to the other accounts.
 *
 * @param name name of the account
 * @param weight share relative to the other accounts, 1 or more
 * @param tokenSha256 SHA-256 of the bearer token, lower-case hexadecimal
 */
public record ClientAccount(String name, int weight, String tokenSha256) {}
