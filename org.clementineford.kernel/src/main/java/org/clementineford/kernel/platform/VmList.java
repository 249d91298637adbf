package org.clementineford.kernel.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of VMs, which may be outdated. */
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
   * @param address listen address of the process on the VM, HOST:PORT
   * @param leaving true if the platform is about to remove the VM
   */
  record Entry(String vm, String dataCentre, String address, boolean leaving) {}
}
