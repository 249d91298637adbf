package org.clementineford.gateway.internal;

/** States in which a change may find a request of a kept connection. */
enum RequestState {
  HEAD_BEING_READ {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      gateway.write(gateway.request().substring(0, 40));
      gateway.awaitRead();
    }

    @Override
    void goOn(ChangingGateway gateway) throws Exception {
      gateway.write(gateway.request().substring(40));
    }
  },
  BODY_BEING_READ {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      gateway.write(gateway.request().substring(0, gateway.request().length() - 2));
      gateway.awaitRead();
    }

    @Override
    void goOn(ChangingGateway gateway) throws Exception {
      gateway.write(gateway.request().substring(gateway.request().length() - 2));
    }
  },
  WAITING {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      gateway.fillSlots();
      gateway.write(gateway.request());
      gateway.awaitRequestsInProgress(5);
    }
  },
  SENT {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      gateway.write(gateway.request());
      gateway.awaitReached();
    }
  },
  HEAD_RECEIVED {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      SENT.reach(gateway);
    }
  },
  STREAMING {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      gateway.write(gateway.request());
      gateway.awaitFirstEvent();
    }
  },
  ANSWER_BEING_WRITTEN {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      SENT.reach(gateway);
      gateway.awaitRequestsInProgress(0);
    }
  },
  CONNECTION_IDLE {
    @Override
    void reach(ChangingGateway gateway) throws Exception {
      gateway.sendEarlierRequest();
    }

    @Override
    void goOn(ChangingGateway gateway) throws Exception {
      gateway.write(gateway.request());
    }
  };

  /** Brings the request into this state. */
  abstract void reach(ChangingGateway gateway) throws Exception;

  /** Sends the part of the request that was not sent before the change. */
  void goOn(ChangingGateway gateway) throws Exception {}
}
