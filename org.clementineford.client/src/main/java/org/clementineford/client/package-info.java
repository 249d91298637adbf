/** Command-line client for operators. */
package org.clementineford.client;
