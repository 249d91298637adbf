/** Checked exceptions of the configuration. */
package org.clementineford.configuration.errors;
