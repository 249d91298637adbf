/** Local copies of the platform's objects, which each process keeps. */
package org.clementineford.serving.directory;
