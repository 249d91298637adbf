/** Discovery of plug-ins with {@link java.util.ServiceLoader}. */
package org.clementineford.kernel.plugins;
