/** Endpoint VM: runs requests on its engines and plain services and stores model weights. */
package org.clementineford.endpoint;
