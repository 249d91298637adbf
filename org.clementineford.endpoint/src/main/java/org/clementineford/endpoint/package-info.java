/** Endpoint VM: stands before engines and plain services and holds weights. */
package org.clementineford.endpoint;
