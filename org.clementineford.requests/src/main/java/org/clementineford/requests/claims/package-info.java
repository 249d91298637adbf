/** Claims, which ensure that a non-idempotent request with an idempotency key runs at most once. */
package org.clementineford.requests.claims;
