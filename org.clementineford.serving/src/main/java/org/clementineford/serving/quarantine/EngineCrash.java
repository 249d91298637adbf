package org.clementineford.serving.quarantine;

/**
 * The crash of an engine while it held a request with a certain prompt part and had not proved the
 * part to be sound.
 *
 * @param engine fingerprint of the engine's ID and incarnation
 * @param request fingerprint of the request's ID
 * @param at time of the crash, in monotonic nanoseconds
 */
public record EngineCrash(long engine, long request, long at) {}
