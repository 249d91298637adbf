package org.clementineford.serving.quarantine;

/**
 * The crash of an engine, or of an endpoint of a plain service, while it held a suspect and had not
 * proved it to be sound.
 *
 * @param engine fingerprint of the endpoint's ID and incarnation
 * @param request fingerprint of the request's ID
 * @param at time of the crash, in monotonic nanoseconds
 */
public record EngineCrash(long engine, long request, long at) {}
