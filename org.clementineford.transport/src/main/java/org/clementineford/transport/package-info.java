/** Exchanges of Thrift frames between the processes of this project, over Netty. */
package org.clementineford.transport;
