/** Admission on the endpoint VM: fair queue over client accounts and the registry of runs. */
package org.clementineford.requests.admission;
