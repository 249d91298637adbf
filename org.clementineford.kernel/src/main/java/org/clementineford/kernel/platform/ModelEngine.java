package org.clementineford.kernel.platform;

import java.util.concurrent.CompletableFuture;

/** Orders and reports of a model engine. Requests to the engine go by HTTP. */
public interface ModelEngine {
  /**
   * Orders the engine to load a version and to answer from it once it is loaded.
   *
   * @param order the order
   * @return what the engine loaded; fails with {@code PlatformException}, kind {@code FENCED} if
   *     the engine has seen a higher fencing number
   */
  CompletableFuture<Loaded> load(LoadOrder order);

  /**
   * Reads the load report, which lags.
   *
   * @return the report; fails with {@code PlatformException}
   */
  CompletableFuture<Load> readLoad();

  /**
   * An order to load.
   *
   * @param model name of the model
   * @param version name of the version
   * @param digest SHA-256 of the whole weights, lower-case hexadecimal
   * @param length length of the weights in bytes
   * @param url where the engine reads the weights, on loopback
   * @param fencingNumber the engine refuses numbers below the highest that it has seen, if it
   *     checks
   */
  record LoadOrder(
      String model, String version, String digest, long length, String url, long fencingNumber) {}

  /**
   * What the engine answers from.
   *
   * @param model name of the model
   * @param version name of the version
   * @param digest digest that the engine computed over what it loaded
   */
  record Loaded(String model, String version, String digest) {}

  /**
   * Load of the engine.
   *
   * @param running requests in the batch
   * @param queued requests that wait in the engine
   * @param slots requests that fit into the batch
   * @param ageMs age of the report in milliseconds
   * @param loaded what the engine answers from, or null if none
   */
  record Load(int running, int queued, int slots, long ageMs, Loaded loaded) {}
}
