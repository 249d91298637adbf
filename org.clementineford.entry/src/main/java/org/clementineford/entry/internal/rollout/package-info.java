/** Paces the activation of model versions over the endpoint VMs of a data centre. */
package org.clementineford.entry.internal.rollout;
