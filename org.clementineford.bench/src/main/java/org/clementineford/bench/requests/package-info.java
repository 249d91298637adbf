/** Request measurements: throughput, fairness, faults and the loss of an endpoint VM. */
package org.clementineford.bench.requests;
