/** Which parts of prompts crash engines, decided from crashes that all entry VMs saw. */
package org.clementineford.serving.quarantine;
