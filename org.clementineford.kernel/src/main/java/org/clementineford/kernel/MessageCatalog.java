package org.clementineford.kernel;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Texts of one module, read from its resource bundle. */
public final class MessageCatalog {
  private final ResourceBundle bundle;

  private MessageCatalog(ResourceBundle bundle) {
    this.bundle = bundle;
  }

  /**
   * Loads the bundle {@code messages} of a package.
   *
   * @param owner a class in the package that holds the bundle
   * @return the catalog
   */
  public static MessageCatalog of(Class<?> owner) {
    String baseName = owner.getPackageName() + ".messages";
    return new MessageCatalog(
        ResourceBundle.getBundle(baseName, Locale.ROOT, owner.getClassLoader()));
  }

  /**
   * Formats a text.
   *
   * @param key key of the text in the bundle
   * @param arguments values for the placeholders; numbers are printed without grouping
   * @return the formatted text
   */
  public String format(String key, Object... arguments) {
    Object[] printed = new Object[arguments.length];
    for (int i = 0; i < arguments.length; i++) {
      printed[i] = String.valueOf(arguments[i]);
    }
    return new MessageFormat(bundle.getString(key), Locale.ROOT).format(printed);
  }
}
