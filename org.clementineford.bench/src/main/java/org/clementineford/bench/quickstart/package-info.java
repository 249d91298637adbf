/** The client that {@code bin/quickstart} runs: it sends requests and checks the answers. */
package org.clementineford.bench.quickstart;
