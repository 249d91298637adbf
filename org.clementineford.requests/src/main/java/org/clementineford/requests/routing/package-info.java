/** Choice of the endpoint that gets a request. */
package org.clementineford.requests.routing;
