/** Gradual activation of model versions on the endpoint VMs of a data centre. */
package org.clementineford.entry.internal.rollout;
