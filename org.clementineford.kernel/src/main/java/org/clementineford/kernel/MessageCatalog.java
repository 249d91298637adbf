package org.clementineford.kernel;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Message texts of one package, read from its resource bundle. */
public final class MessageCatalog {
  private final ResourceBundle bundle;

  private MessageCatalog(ResourceBundle bundle) {
    this.bundle = bundle;
  }

  /**
   * Loads the resource bundle {@code messages} of a package.
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
   * Formats a message.
   *
   * @param key key of the message in the bundle
   * @param arguments values for the placeholders; numbers are printed without grouping separators
   * @return the formatted message
   */
  public String format(String key, Object... arguments) {
    Object[] texts = new Object[arguments.length];
    for (int i = 0; i < arguments.length; i++) {
      texts[i] = String.valueOf(arguments[i]);
    }
    return new MessageFormat(bundle.getString(key), Locale.ROOT).format(texts);
  }
}
