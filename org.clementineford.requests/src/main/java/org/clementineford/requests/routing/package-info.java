/** Selection of the endpoint for a request. */
package org.clementineford.requests.routing;
