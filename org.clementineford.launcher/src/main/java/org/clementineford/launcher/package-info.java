/** Programs of the platform deployment; they wire parts and decide nothing. */
package org.clementineford.launcher;
