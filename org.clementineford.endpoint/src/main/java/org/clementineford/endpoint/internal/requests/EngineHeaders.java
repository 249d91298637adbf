package org.clementineford.endpoint.internal.requests;

/** Response headers with which an engine identifies the weights that produced an answer. */
final class EngineHeaders {
  static final String MODEL_VERSION = "X-Model-Version";
  static final String WEIGHTS_DIGEST = "X-Weights-Digest";

  private EngineHeaders() {}
}
