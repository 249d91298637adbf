package org.clementineford.gateway.internal;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.clementineford.serving.model.CallerLimits;
import org.clementineford.serving.model.Endpoint;
import org.clementineford.serving.model.RoutingClientAccount;
import org.clementineford.serving.model.Service;
import org.clementineford.serving.model.ServiceShare;

/** Changes of the configuration or of the list of endpoints that a request may meet. */
enum ConfigurationChange {
  TIMEOUT_SHORTER(200, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.setTimeoutMs(500);
    }
  },
  ROUTE_MOVED(200, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    void change(ConfigurationDraft draft) {
      moveRoutes(draft);
    }
  },
  ROUTE_DROPPED(404, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.routes().clear();
    }
  },
  SERVICE_DROPPED(503, Waiting.NOT_ANY_MORE) {
    @Override
    void change(ConfigurationDraft draft) {
      dropServices(draft);
    }
  },
  SERVICE_AND_ROUTE_DROPPED(404, Waiting.NOT_ANY_MORE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.routes().clear();
      dropServices(draft);
    }
  },
  SERVICE_DROPPED_AND_ROUTE_MOVED(200, Waiting.NOT_ANY_MORE) {
    @Override
    void change(ConfigurationDraft draft) {
      moveRoutes(draft);
      dropServices(draft);
    }
  },
  SERVICE_LOSES_ENGINE(200, Waiting.NOT_ANY_MORE) {
    @Override
    void change(ConfigurationDraft draft) {
      Service pool = draft.services().get("pool");
      draft
          .services()
          .put(
              "pool",
              new Service("pool", pool.maxConnections(), Optional.empty(), Optional.empty()));
    }
  },
  KEY_REMOVED(401, Waiting.NOT_ANY_MORE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.accounts().clear();
    }
  },
  PRIORITY_CHANGED(200, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.accounts().put("secret", new RoutingClientAccount("lorient", OptionalInt.of(3)));
    }
  },
  IDLE_TIME_SHORTER(200, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.setLimits(new CallerLimits(CallerLimits.DEFAULT.maxBodyBytes(), 100));
    }
  },
  BODY_LIMIT_SMALLER(200, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.setLimits(new CallerLimits(16, CallerLimits.DEFAULT.idleTimeoutMs()));
    }
  },
  SHARES_CHANGED(200, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    void change(ConfigurationDraft draft) {
      draft.putPlainService(SPARE);
      draft.setShares(
          shares ->
              List.of(new ServiceShare(shares.get(0).service(), 0), new ServiceShare(SPARE, 1)));
    }
  },
  ENDPOINT_REMOVED(503, Waiting.NOT_ANY_MORE) {
    @Override
    List<Endpoint> endpoints(List<Endpoint> listed) {
      return List.of(spare(listed));
    }
  },
  ENDPOINT_LEAVING(503, Waiting.NOT_ANY_MORE) {
    @Override
    List<Endpoint> endpoints(List<Endpoint> listed) {
      return listed.stream()
          .map(each -> each.service().equals(SPARE) ? each : each.asLeaving())
          .toList();
    }
  },
  ENDPOINT_RESTARTED(200, Waiting.UNTIL_SLOT_IS_FREE) {
    @Override
    List<Endpoint> endpoints(List<Endpoint> listed) {
      return listed.stream()
          .map(
              each ->
                  new Endpoint(
                      each.id(), 2, each.service(), each.address(), each.dataCentre(), false, 1))
          .toList();
    }
  };

  /** Name of a plain service to which the default configuration has no route. */
  static final String SPARE = "spare";

  /** Whether requests still wait for an engine after a change. */
  enum Waiting {
    UNTIL_SLOT_IS_FREE,
    NOT_ANY_MORE
  }

  private final int laterStatus;
  private final Waiting waiting;

  ConfigurationChange(int laterStatus, Waiting waiting) {
    this.laterStatus = laterStatus;
    this.waiting = waiting;
  }

  /** Returns the status of a request that is read after the change. */
  int laterStatus() {
    return laterStatus;
  }

  /** Returns the status of a request that waited for an engine during the change. */
  int waitingStatus() {
    return waiting == Waiting.NOT_ANY_MORE ? laterStatus : 200;
  }

  boolean endsWaiting() {
    return waiting == Waiting.NOT_ANY_MORE;
  }

  void change(ConfigurationDraft draft) {}

  List<Endpoint> endpoints(List<Endpoint> listed) {
    return listed;
  }

  private static void moveRoutes(ConfigurationDraft draft) {
    draft.putPlainService(SPARE);
    draft.setShares(shares -> List.of(new ServiceShare(SPARE, 1)));
  }

  private static void dropServices(ConfigurationDraft draft) {
    draft.services().remove("pool");
    draft.services().remove("plain");
  }

  private static Endpoint spare(List<Endpoint> listed) {
    return listed.stream().filter(each -> each.service().equals(SPARE)).findFirst().get();
  }
}
