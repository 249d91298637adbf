/** Checked exceptions and their kinds. */
package org.clementineford.kernel.errors;
