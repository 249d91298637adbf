package org.clementineford.client;

import java.util.List;

/**
 * Explanation of how a request ended.
 *
 * @param findings sentences, the most informative first
 * @param requestLines lines that name the request, sorted by time
 * @param relatedLines other lines that its VMs logged around that time, or that name its endpoints,
 *     sorted by time
 */
public record RequestExplanation(
    List<String> findings, List<LogLine> requestLines, List<LogLine> relatedLines) {}
