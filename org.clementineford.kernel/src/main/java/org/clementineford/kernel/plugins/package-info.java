/** Discovery of plug-ins by ServiceLoader. */
package org.clementineford.kernel.plugins;
