/** Measures the distribution of weights over links of limited bandwidth in one process. */
package org.clementineford.bench.distribution;
