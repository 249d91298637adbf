/** HTTP/1.1 server and client, based on the HTTP codec of Netty. */
package org.clementineford.transport.http;
