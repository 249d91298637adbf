/** Transfer logic for model weights: manifests, chunks, source selection and activation. */
package org.clementineford.weights;
