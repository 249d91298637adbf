package org.clementineford.transport.http;

import java.util.Map;

/**
 * An HTTP response with its complete body.
 *
 * @param status HTTP status
 * @param headers headers by name; the lookup ignores case
 * @param body the body; callers must not change the array
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {}
