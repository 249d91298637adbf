package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConnectionShareTest {
  // Guards against more connections to an endpoint than it accepts from all entry VMs.
  @Test
  void keepsTheSumOfAllSharesBelowTheLimit() {
    for (int entryVms : new int[] {1, 7, 10, 50}) {
      int connections = ConnectionShare.connections(100, entryVms);
      assertThat(connections * entryVms).isLessThan(100);
    }
  }

  // Guards against a share of zero, with which an entry VM could not use the endpoint at all.
  @Test
  void isNeverZero() {
    assertThat(ConnectionShare.connections(48, 400)).isEqualTo(1);
    assertThat(ConnectionShare.connections(0, 10)).isEqualTo(Integer.MAX_VALUE);
  }
}
