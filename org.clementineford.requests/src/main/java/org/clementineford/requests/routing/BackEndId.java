package org.clementineford.requests.routing;

/**
 * Identity of the back end that serves a request: a model or a plain service.
 *
 * @param name name of the model or of the plain service
 * @param version version of the model, or null for a plain service
 */
public record BackEndId(String name, String version) {
  /**
   * Returns whether the back end is a model engine.
   *
   * @return false for a plain service
   */
  public boolean isModel() {
    return version != null;
  }
}
