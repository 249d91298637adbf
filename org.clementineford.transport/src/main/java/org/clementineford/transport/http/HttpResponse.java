package org.clementineford.transport.http;

import java.util.Map;

/**
 * A whole response.
 *
 * @param status HTTP status
 * @param headers headers by name; look-up ignores case
 * @param body the body; callers must not change the array
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {}
