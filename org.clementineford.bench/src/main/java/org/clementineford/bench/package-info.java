/** Measurements of the product on one machine. */
package org.clementineford.bench;
