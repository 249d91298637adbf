/** Claims that let a non-idempotent request with a key run at most once. */
package org.clementineford.requests.claims;
