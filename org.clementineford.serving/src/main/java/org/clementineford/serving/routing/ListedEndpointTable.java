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
 * The endpoints that the platform lists, with the state that an entry VM keeps for each. A
 * restarted endpoint gets a new state, even if it keeps its ID, since its load, weights and health
 * may have changed.
 */
public final class ListedEndpointTable {
  private final Map<String, EndpointState> byId = new HashMap<>();
  private final Map<String, List<EndpointState>> byService = new HashMap<>();

  /**
   * Replaces the list of endpoints, and keeps the state of those that did not restart.
   *
   * @param listed all endpoints that the platform lists
   * @return states of endpoints that restarted or are no longer listed
   */
  public List<EndpointState> update(Collection<Endpoint> listed) {
    Set<String> listedIds = new HashSet<>();
    List<EndpointState> removed = new ArrayList<>();
    byService.clear();
    for (Endpoint endpoint : listed) {
      listedIds.add(endpoint.id());
      EndpointState state = byId.get(endpoint.id());
      if (state != null && !isSameIncarnation(state.endpoint(), endpoint)) {
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
              boolean gone = !listedIds.contains(state.endpoint().id());
              if (gone) {
                state.remove();
                removed.add(state);
              }
              return gone;
            });
    return removed;
  }

  private static boolean isSameIncarnation(Endpoint known, Endpoint listed) {
    return known.incarnation() == listed.incarnation()
        && known.address().equals(listed.address())
        && known.service().equals(listed.service());
  }

  /**
   * Returns the endpoints of a service.
   *
   * @param service name of the service
   * @return states in the order of the listing; the next update replaces this list
   */
  public List<EndpointState> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Returns all endpoints.
   *
   * @return the states, in no particular order; a live view
   */
  public Collection<EndpointState> all() {
    return byId.values();
  }
}
