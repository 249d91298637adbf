/** The caller of {@code bin/quickstart}. */
package org.clementineford.bench.quickstart;
