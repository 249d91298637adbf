package org.clementineford.serving.routing;

/** Reason for which an endpoint gets no request of this entry VM. */
public enum EndpointMark {
  /** The platform does not list it, or lists another incarnation. */
  UNLISTED {
    @Override
    boolean applies(EndpointState endpoint, long now) {
      return endpoint.isRemoved();
    }
  },
  /** It is leaving, as its listing or one of its responses says. */
  LEAVING {
    @Override
    boolean applies(EndpointState endpoint, long now) {
      return endpoint.endpoint().leaving();
    }
  },
  /** It asked for a pause, or one has just ended and enough requests have returned. */
  PAUSED {
    @Override
    boolean applies(EndpointState endpoint, long now) {
      return !endpoint.pause().allows(endpoint.outstanding(), now);
    }
  },
  /** It used up this entry VM's share of the limit of requests that it named. */
  LIMITED {
    @Override
    boolean applies(EndpointState endpoint, long now) {
      return !endpoint.requestLimit().allows(now);
    }
  },
  /** It failed requests, and its next trial request is not due or runs. */
  SUSPENDED {
    @Override
    boolean applies(EndpointState endpoint, long now) {
      return !endpoint.isHealthy(now);
    }
  };

  /** Returns whether the reason holds now. */
  abstract boolean applies(EndpointState endpoint, long now);
}
