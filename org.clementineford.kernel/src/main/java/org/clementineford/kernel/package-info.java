/**
 * Types shared by all modules: addresses, identities of VMs, scheduling and message texts. Its
 * subpackages hold settings, events and their clock, errors, and the interfaces that plug-ins
 * implement.
 */
package org.clementineford.kernel;
