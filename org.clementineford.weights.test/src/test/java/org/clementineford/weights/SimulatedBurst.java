package org.clementineford.weights;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.DistributionPolicy;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.testing.VirtualTime;

/** Simulation of six VMs in two regions with fixed fetch times that logs each VM's decisions. */
final class SimulatedBurst {
  private static final int CHUNKS = 12;
  private static final long STEP_MS = 10;
  private static final long ANNOUNCE_MS = 50;

  private final VirtualTime time = new VirtualTime(0);
  private final StringBuilder log = new StringBuilder();
  private final Map<String, Vm> vms = new TreeMap<>();
  private final Set<String> dead = new HashSet<>();
  private String version;
  private boolean corruptNext;

  SimulatedBurst() {
    for (int i = 1; i <= 6; i++) {
      String name = "vm-" + i;
      vms.put(name, new Vm(TestVms.vm(name, i % 2 == 0 ? "paris" : "brittany")));
    }
    time.scheduleWithFixedDelay(this::step, STEP_MS, TimeUnit.MILLISECONDS);
    time.scheduleWithFixedDelay(this::announce, ANNOUNCE_MS, TimeUnit.MILLISECONDS);
  }

  void startTransfersOf(String next) {
    version = next;
    note("all", "wants " + next);
    vms.values().forEach(Vm::begin);
  }

  void kill(String name) {
    note(name, "dies");
    dead.add(name);
    vms.values().forEach(vm -> vm.removePeer(name));
  }

  void corruptNext() {
    corruptNext = true;
  }

  void runMillis(long millis) {
    time.advance(millis, TimeUnit.MILLISECONDS);
  }

  boolean allComplete() {
    return vms.values().stream().allMatch(vm -> !vm.alive() || vm.state.held().isComplete());
  }

  String log() {
    return log.toString();
  }

  private void step() {
    vms.values().stream().filter(Vm::alive).forEach(Vm::step);
  }

  private void announce() {
    for (Vm sender : vms.values()) {
      for (Vm receiver : vms.values()) {
        if (sender.alive() && receiver.alive() && sender != receiver) {
          byte[] bitmap = sender.state.held().toBytes();
          receiver.state.setPeerChunks(sender.identity, ChunkBitmap.fromBytes(bitmap, CHUNKS));
        }
      }
    }
  }

  private void note(String vm, String text) {
    long millis = TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
    log.append(String.format("%5d ms  %-4s  %s%n", millis, vm, text).replace("\r", ""));
  }

  private static long durationMs(SourceKind kind) {
    return switch (kind) {
      case ORIGIN, WEIGHT_STORE -> 60;
      case PEER_ELSEWHERE -> 40;
      default -> 20;
    };
  }

  private final class Vm {
    private final VmIdentity identity;
    private TransferState state;
    private boolean reported;

    Vm(VmIdentity identity) {
      this.identity = identity;
    }

    boolean alive() {
      return !dead.contains(identity.vm());
    }

    void begin() {
      reported = false;
      state =
          new TransferState(
              identity,
              "manifest of " + version,
              CHUNKS,
              DistributionPolicy.FEWEST_ORIGIN_BYTES,
              TransferLimits.DEFAULT);
      state.setMembers(members());
    }

    private List<VmIdentity> members() {
      List<VmIdentity> members = new ArrayList<>();
      vms.values().stream().filter(Vm::alive).forEach(vm -> members.add(vm.identity));
      return members;
    }

    void removePeer(String name) {
      for (Fetch fetch : state.running()) {
        if (fetch.peer() != null && fetch.peer().vm().equals(name)) {
          state.failed(fetch.id(), FetchFailure.LOST, 0, time.nanoTime());
        }
      }
      state.setMembers(members());
    }

    void step() {
      TransferActions actions = state.plan(time.nanoTime());
      actions.cancelled().forEach(fetch -> note(identity.vm(), "gives up " + text(fetch)));
      for (Fetch fetch : actions.started()) {
        note(identity.vm(), "fetches " + text(fetch));
        TransferState requester = state;
        time.schedule(
            () -> arrive(requester, fetch), durationMs(fetch.kind()), TimeUnit.MILLISECONDS);
      }
      if (state.held().isComplete() && !reported) {
        reported = true;
        note(identity.vm(), "holds all of " + version);
      }
    }

    private void arrive(TransferState requester, Fetch fetch) {
      if (!alive() || requester != state || !state.running().contains(fetch)) {
        return;
      }
      if (corruptNext && fetch.kind().isPeer()) {
        corruptNext = false;
        note(identity.vm(), "received corrupt " + text(fetch));
        state.failed(fetch.id(), FetchFailure.CORRUPT, 0, time.nanoTime());
        return;
      }
      for (Fetch obsolete : state.succeeded(fetch.id(), time.nanoTime())) {
        note(identity.vm(), "cancels " + text(obsolete));
      }
    }

    private String text(Fetch fetch) {
      String source = fetch.peer() == null ? fetch.kind().name() : fetch.peer().vm();
      return "chunk " + fetch.chunk() + " from " + source;
    }
  }
}
