/** Virtual time and free ports for tests. */
package org.clementineford.testing;
