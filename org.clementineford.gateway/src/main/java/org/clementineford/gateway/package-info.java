/**
 * The process of an entry VM: accepts HTTP requests of callers and forwards them to endpoints of
 * the platform.
 */
package org.clementineford.gateway;
