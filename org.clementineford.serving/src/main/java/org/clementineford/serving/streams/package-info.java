/** Event streams. */
package org.clementineford.serving.streams;
