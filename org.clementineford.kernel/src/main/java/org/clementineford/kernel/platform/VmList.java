package org.clementineford.kernel.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's lagging list of VMs. */
public interface VmList {
  /**
   * Reads the list.
   *
   * @return the entries; fails with {@code PlatformException}
   */
  CompletableFuture<List<Entry>> read();

  /**
   * A VM on the list.
   *
   * @param vm name of the VM
   * @param dataCentre data centre of the VM
   * @param address listener of the process on the VM, HOST:PORT
   * @param leaving true if the platform is about to take the VM back
   */
  record Entry(String vm, String dataCentre, String address, boolean leaving) {}
}
