package org.clementineford.kernel.plugins;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.kernel.errors.SettingException;

/**
 * Plug-ins of one type, by their names.
 *
 * @param <T> type of the plug-ins
 */
public final class PlugInRegistry<T extends PlugIn> {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(MessageCatalog.class);

  private final String typeName;
  private final Map<String, T> plugIns;

  private PlugInRegistry(String typeName, Map<String, T> plugIns) {
    this.typeName = typeName;
    this.plugIns = plugIns;
  }

  /**
   * Finds all plug-ins of a type that are registered with {@link ServiceLoader}.
   *
   * @param type type of the plug-ins
   * @param <T> type of the plug-ins
   * @return the registry
   */
  public static <T extends PlugIn> PlugInRegistry<T> load(Class<T> type) {
    Map<String, T> found = new TreeMap<>();
    for (T plugIn : ServiceLoader.load(type, type.getClassLoader())) {
      T previous = found.putIfAbsent(plugIn.name(), plugIn);
      if (previous != null) {
        throw new IllegalStateException(
            MESSAGES.format("PLUG_IN_DOUBLED", type.getName(), plugIn.name()));
      }
    }
    return new PlugInRegistry<>(type.getSimpleName(), found);
  }

  /**
   * Returns a plug-in by name.
   *
   * @param name name of the plug-in
   * @return the plug-in
   * @throws SettingException if there is no plug-in of that name; the message lists the valid names
   */
  public T get(String name) throws SettingException {
    T plugIn = plugIns.get(name);
    if (plugIn == null) {
      throw new SettingException(
          MESSAGES.format("PLUG_IN_UNKNOWN", typeName, name, plugIns.keySet()));
    }
    return plugIn;
  }
}
