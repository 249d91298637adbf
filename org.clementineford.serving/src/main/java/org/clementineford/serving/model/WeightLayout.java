package org.clementineford.serving.model;

/**
 * How the weights of a model are cut into chunks, as configured by operators.
 *
 * @param chunks number of chunks of each version
 * @param chunkBytes length of each chunk, in bytes
 */
public record WeightLayout(int chunks, int chunkBytes) {}
