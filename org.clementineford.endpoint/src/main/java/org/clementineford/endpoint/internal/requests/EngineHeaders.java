package org.clementineford.endpoint.internal.requests;

/** Response headers in which an engine names the weights that an answer comes from. */
final class EngineHeaders {
  static final String MODEL_VERSION = "X-Model-Version";
  static final String WEIGHTS_DIGEST = "X-Weights-Digest";

  private EngineHeaders() {}
}
