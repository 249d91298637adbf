/** Commands of the command-line client for operators. */
package org.clementineford.client;
