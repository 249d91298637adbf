/** Entry VM: accepts requests of callers and dispatches them. */
package org.clementineford.entry;
