/** Paused time for tests. */
package org.clementineford.testing;
