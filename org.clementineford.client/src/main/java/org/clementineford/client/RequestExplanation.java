package org.clementineford.client;

import java.util.List;

/**
 * Why a request ended as it did.
 *
 * @param findings sentences, the most telling first
 * @param own lines that name the request, by time
 * @param related lines that tell what its VMs believed then, by time
 */
public record RequestExplanation(List<String> findings, List<LogLine> own, List<LogLine> related) {}
