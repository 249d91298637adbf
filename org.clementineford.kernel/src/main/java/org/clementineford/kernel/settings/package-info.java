/** Settings read from flags and environment variables. */
package org.clementineford.kernel.settings;
