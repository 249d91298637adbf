/** Which requests a process still takes once its planned stop has begun. */
package org.clementineford.serving.draining;
