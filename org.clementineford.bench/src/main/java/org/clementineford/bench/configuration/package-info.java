/** Measurements of configuration changes and of the cost of control traffic. */
package org.clementineford.bench.configuration;
