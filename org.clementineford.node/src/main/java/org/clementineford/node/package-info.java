/** What every process of the project shares. */
package org.clementineford.node;
