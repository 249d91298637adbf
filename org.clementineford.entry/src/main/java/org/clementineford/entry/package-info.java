/** Entry VM role: accepts client requests and dispatches them to endpoint VMs. */
package org.clementineford.entry;
