/** Copies of the platform's objects that each process keeps. */
package org.clementineford.serving.directory;
