/** Order and refusal of requests that wait for an engine. */
package org.clementineford.serving.queueing;
