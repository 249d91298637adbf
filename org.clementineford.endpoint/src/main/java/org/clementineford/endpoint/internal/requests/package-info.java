/** Request handling on the endpoint VM: dispatch, admission, back ends and load reports. */
package org.clementineford.endpoint.internal.requests;
