/** What becomes of one request: attempts, retries, refusals and the check of its answer. */
package org.clementineford.requests.attempts;
