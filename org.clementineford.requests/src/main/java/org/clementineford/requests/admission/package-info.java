/** Admission of requests on the endpoint VM: fair queue among client accounts and run registry. */
package org.clementineford.requests.admission;
