package org.clementineford.kernel.plugins;

/** An implementation that registers itself under a name. */
public interface PlugIn {
  /**
   * Returns the name by which settings and documents refer to this plug-in.
   *
   * @return a name that is unique among plug-ins of the same type
   */
  String name();
}
