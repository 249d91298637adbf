/** Choice of endpoints, their health and load, and the budget of repeated sends. */
package org.clementineford.serving.routing;
