/** Programs of the platform deployment. They only connect the components of the other bundles. */
package org.clementineford.launcher;
