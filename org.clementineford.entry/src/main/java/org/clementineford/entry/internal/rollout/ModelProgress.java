package org.clementineford.entry.internal.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.weights.ActivationPacing;

/**
 * Rollout progress of one version of one model: which endpoint VMs of the data centre hold a
 * complete copy, are loading it, and serve it.
 */
final class ModelProgress {
  private final String model;
  private final String version;
  private final Map<String, Copy> completeCopies = new HashMap<>();
  private final Set<String> loading = new HashSet<>();
  private final Map<String, VmIdentity> serving = new HashMap<>();
  private final Map<String, Long> retryTimes = new HashMap<>();

  ModelProgress(String model, String version) {
    this.model = model;
    this.version = version;
  }

  String version() {
    return version;
  }

  void addCompleteCopy(VmIdentity vm, String manifestAddress) {
    completeCopies.put(vm.vm(), new Copy(vm, manifestAddress));
  }

  /** Chooses the copies to activate now and records them as loading. */
  List<Copy> chooseNext(List<VmIdentity> endpoints, double maxLoadingShare, long nowNanos) {
    Map<String, VmIdentity> alive = new HashMap<>();
    endpoints.forEach(vm -> alive.put(vm.vm(), vm));
    loading.retainAll(alive.keySet());
    Map<String, Copy> waiting = new HashMap<>(completeCopies);
    waiting
        .values()
        .removeIf(
            copy ->
                !copy.vm().equals(alive.get(copy.vm().vm()))
                    || copy.vm().equals(serving.get(copy.vm().vm()))
                    || nowNanos < retryTimes.getOrDefault(copy.vm().vm(), Long.MIN_VALUE));
    List<String> chosen =
        ActivationPacing.next(
            waiting.keySet(),
            loading,
            ActivationPacing.slots(maxLoadingShare, endpoints.size()),
            model + "/" + version);
    loading.addAll(chosen);
    return chosen.stream().map(waiting::get).toList();
  }

  void activated(VmIdentity vm) {
    loading.remove(vm.vm());
    serving.put(vm.vm(), vm);
  }

  void activationFailed(VmIdentity vm, long retryAtNanos) {
    loading.remove(vm.vm());
    retryTimes.put(vm.vm(), retryAtNanos);
  }

  /**
   * A complete copy of the model version on a VM.
   *
   * @param vm VM that holds the copy
   * @param manifestAddress content address of the manifest of the copy
   */
  record Copy(VmIdentity vm, String manifestAddress) {}
}
