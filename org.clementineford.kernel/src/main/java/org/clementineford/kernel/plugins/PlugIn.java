package org.clementineford.kernel.plugins;

/** An implementation of an interface that is selected by its name. */
public interface PlugIn {
  /**
   * Returns the name by which settings and documents refer to this plug-in.
   *
   * @return a name that is unique among plug-ins of the same type
   */
  String name();
}
