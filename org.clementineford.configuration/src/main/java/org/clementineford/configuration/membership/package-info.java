/** Who is a member, and who tells whom. */
package org.clementineford.configuration.membership;
