package org.clementineford.kernel.platform;

import java.util.concurrent.CompletableFuture;

/**
 * Control interface of a model engine: orders to load weights and reports of its load. Model
 * requests are sent to the engine over HTTP, not through this interface.
 */
public interface ModelEngine {
  /**
   * Orders the engine to load a version of the weights and to answer requests with it from then on.
   *
   * @param order the order
   * @return the version that the engine loaded; fails with {@code PlatformException}, of kind
   *     {@code FENCED} if the engine has received a higher fencing number
   */
  CompletableFuture<LoadedVersion> load(LoadOrder order);

  /**
   * Reads the load report, which may be outdated; see {@link EngineLoad#ageMs()}.
   *
   * @return the report; fails with {@code PlatformException}
   */
  CompletableFuture<EngineLoad> readLoad();

  /**
   * An order to load a version of the weights.
   *
   * @param model name of the model
   * @param version name of the version
   * @param digest SHA-256 of all bytes of the weights, lower-case hexadecimal
   * @param length length of the weights in bytes
   * @param url loopback URL from which the engine reads the weights
   * @param fencingNumber number of the order; an engine that checks fencing numbers refuses one
   *     below the highest that it has received
   */
  record LoadOrder(
      String model, String version, String digest, long length, String url, long fencingNumber) {}

  /**
   * The version of the weights with which the engine answers requests.
   *
   * @param model name of the model
   * @param version name of the version
   * @param digest digest that the engine computed over the loaded weights
   */
  record LoadedVersion(String model, String version, String digest) {}

  /**
   * Load of the engine at the time of a report.
   *
   * @param running requests in the running batch
   * @param queued requests that wait inside the engine
   * @param slots largest number of requests in the batch
   * @param ageMs age of the report in milliseconds
   * @param loaded version with which the engine answers requests, or null if none is loaded
   */
  record EngineLoad(int running, int queued, int slots, long ageMs, LoadedVersion loaded) {}
}
