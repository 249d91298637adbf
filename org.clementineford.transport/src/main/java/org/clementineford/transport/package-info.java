/**
 * Communication between clementineford processes over Netty. An exchange is a sequence of Thrift
 * payloads in both directions; several exchanges share one connection.
 */
package org.clementineford.transport;
