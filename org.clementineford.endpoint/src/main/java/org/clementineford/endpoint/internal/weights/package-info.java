/** Transfer of model weights to this VM and their activation in its engines. */
package org.clementineford.endpoint.internal.weights;
