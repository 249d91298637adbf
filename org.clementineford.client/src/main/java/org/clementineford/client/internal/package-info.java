/** Command line of the operators' client. */
package org.clementineford.client.internal;
