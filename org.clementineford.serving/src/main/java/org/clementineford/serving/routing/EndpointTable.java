package org.clementineford.serving.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementineford.serving.model.Endpoint;

/**
 * The endpoints that an entry VM knows, by identity. A restarted endpoint is a new entry, even
 * under its old identity, since nothing that was known of it holds any longer.
 */
public final class EndpointTable {
  private final Map<String, EndpointState> byId = new HashMap<>();
  private final Map<String, List<EndpointState>> byService = new HashMap<>();

  /**
   * Replaces the listed endpoints.
   *
   * @param listed all endpoints
   * @return states that are no longer in use
   */
  public List<EndpointState> update(Collection<Endpoint> listed) {
    Set<String> present = new HashSet<>();
    List<EndpointState> removed = new ArrayList<>();
    byService.clear();
    for (Endpoint endpoint : listed) {
      present.add(endpoint.id());
      EndpointState state = byId.get(endpoint.id());
      if (state != null && !isSame(state.endpoint(), endpoint)) {
        state.remove();
        removed.add(state);
        state = null;
      }
      if (state == null) {
        state = new EndpointState(endpoint);
        byId.put(endpoint.id(), state);
      }
      state.update(endpoint);
      byService.computeIfAbsent(endpoint.service(), name -> new ArrayList<>()).add(state);
    }
    byId.values()
        .removeIf(
            state -> {
              boolean gone = !present.contains(state.endpoint().id());
              if (gone) {
                state.remove();
                removed.add(state);
              }
              return gone;
            });
    return removed;
  }

  private static boolean isSame(Endpoint known, Endpoint listed) {
    return known.incarnation() == listed.incarnation()
        && known.address().equals(listed.address())
        && known.service().equals(listed.service());
  }

  /**
   * Returns the endpoints of a service.
   *
   * @param service name of the service
   * @return live list, in the order of the listing
   */
  public List<EndpointState> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Returns all endpoints.
   *
   * @return their states
   */
  public Collection<EndpointState> all() {
    return byId.values();
  }
}
