package org.clementineford.weights;

import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;

/** Factory of endpoint VM identities for tests. */
final class TestVms {
  private TestVms() {}

  static VmIdentity vm(String name, String region) {
    return new VmIdentity(
        name, VmRole.ENDPOINT, "dc-" + region, region, 1, new HostPort("127.0.0.1", 1));
  }
}
