/** HTTP adapters for the platform, weight sources and model engines. */
package org.clementineford.platform;
