/** Choice of the endpoint for a request, health and load of endpoints, and the retry budget. */
package org.clementineford.serving.routing;
