/** Checked exceptions of this project and the kinds of failure that they report. */
package org.clementineford.kernel.errors;
