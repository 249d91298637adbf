/** Decisions about weights: manifests, chunks, sources and policies. */
package org.clementineford.weights;
