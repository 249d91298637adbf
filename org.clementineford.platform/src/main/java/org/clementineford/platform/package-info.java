/** HTTP adapters of the platform, engines and plain services. */
package org.clementineford.platform;
