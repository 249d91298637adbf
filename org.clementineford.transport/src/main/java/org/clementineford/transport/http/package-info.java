/** HTTP server and client on Netty's codec. */
package org.clementineford.transport.http;
