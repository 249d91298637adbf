/** Queue of requests that wait for an engine, and the decision to refuse requests in overload. */
package org.clementineford.serving.queueing;
