/** Measurement of requests: throughput, fairness, faults and the loss of an endpoint. */
package org.clementineford.bench.requests;
