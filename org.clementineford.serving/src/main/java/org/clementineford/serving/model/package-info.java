/** Immutable descriptions of configuration, endpoints and requests. */
package org.clementineford.serving.model;
