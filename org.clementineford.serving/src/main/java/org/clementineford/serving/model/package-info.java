/** Immutable data: the routing configuration, listed endpoints and metadata of requests. */
package org.clementineford.serving.model;
