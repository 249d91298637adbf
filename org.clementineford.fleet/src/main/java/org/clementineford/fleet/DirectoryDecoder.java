package org.clementineford.fleet;

import java.util.Optional;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.serving.directory.DirectoryEntry;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.RoutingConfiguration;
import org.clementineford.serving.model.WeightTarget;

/** Decodes platform objects from the platform's encoding. */
public interface DirectoryDecoder {
  /**
   * Decodes the operators' configuration.
   *
   * @param entry the encoded object
   * @return the configuration
   * @throws ClementinefordException if the content is not a valid configuration
   */
  RoutingConfiguration configuration(DirectoryEntry entry) throws ClementinefordException;

  /**
   * Decodes an endpoint.
   *
   * @param entry the encoded object
   * @return the endpoint; empty if the entry does not describe a usable one, for example because a
   *     foreign program wrote it
   */
  Optional<Endpoint> endpoint(DirectoryEntry entry);

  /**
   * Decodes a named version of weights.
   *
   * @param entry the encoded object
   * @return the version; empty if the entry does not contain one
   */
  Optional<WeightTarget> weightTarget(DirectoryEntry entry);

  /**
   * Decodes the registration of an entry VM.
   *
   * @param entry the encoded object
   * @return the registration; empty if the entry contains no address
   */
  Optional<RegisteredEntryVm> entryVm(DirectoryEntry entry);
}
