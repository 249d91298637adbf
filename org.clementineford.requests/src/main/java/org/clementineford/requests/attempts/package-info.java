/** Processing of one request: attempts, retries, refusals and verification of its answer. */
package org.clementineford.requests.attempts;
