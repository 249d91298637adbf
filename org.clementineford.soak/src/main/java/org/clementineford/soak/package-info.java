/**
 * A randomized soak: the real programs as separate processes on loopback, faults that come from
 * outside of them, and promises that are checked from what callers and back ends see.
 */
package org.clementineford.soak;
