/** The entry VM: takes requests of callers and sends them to endpoints. */
package org.clementineford.gateway;
