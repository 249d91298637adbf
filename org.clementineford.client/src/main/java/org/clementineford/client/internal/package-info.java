/** Command-line interface of the client for operators. */
package org.clementineford.client.internal;
