/** Checked exceptions for the configuration document. */
package org.clementineford.configuration.errors;
