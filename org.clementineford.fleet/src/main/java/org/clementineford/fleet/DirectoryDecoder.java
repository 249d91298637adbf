package org.clementineford.fleet;

import java.util.Optional;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.serving.directory.StoredEntry;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.WeightTarget;

/** Turns objects, as the platform encodes them, into values. */
public interface DirectoryDecoder {
  /**
   * Decodes the operators' configuration.
   *
   * @param entry the object
   * @return the configuration
   * @throws ClementinefordException if the content is not a configuration
   */
  RoutingConfiguration configuration(StoredEntry entry) throws ClementinefordException;

  /**
   * Decodes an endpoint.
   *
   * @param entry the object
   * @return the endpoint; empty if the entry, maybe of a foreign writer, names none to use
   */
  Optional<Endpoint> endpoint(StoredEntry entry);

  /**
   * Decodes a named version of weights.
   *
   * @param entry the object
   * @return the version; empty if the entry names none
   */
  Optional<WeightTarget> weightTarget(StoredEntry entry);

  /**
   * Decodes the registration of an entry VM.
   *
   * @param entry the object
   * @return where it answers its peers; empty if the entry does not say
   */
  Optional<HostPort> entryVm(StoredEntry entry);
}
