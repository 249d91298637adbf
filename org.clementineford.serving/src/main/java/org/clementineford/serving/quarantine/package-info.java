/** Which requests and parts of prompts crash endpoints, decided from crashes that all VMs saw. */
package org.clementineford.serving.quarantine;
