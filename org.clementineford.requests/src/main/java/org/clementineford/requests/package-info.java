/** Decisions about requests: routing, fairness, attempts and the run registry. */
package org.clementineford.requests;
