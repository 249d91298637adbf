/** Decision logic for requests: routing, fair queueing, attempts and the run registry. */
package org.clementineford.requests;
