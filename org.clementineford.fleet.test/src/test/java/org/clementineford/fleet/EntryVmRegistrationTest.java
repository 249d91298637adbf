package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.serving.directory.DirectoryEntries;
import org.clementineford.serving.directory.ObjectDirectory;
import org.clementineford.serving.directory.ObjectKind;
import org.clementineford.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class EntryVmRegistrationTest {
  private static final int VMS = 300;

  /** Write calls that the platform accepts in a second. */
  private static final int WRITES_PER_SECOND = 400;

  private final VirtualTime time = new VirtualTime(0);
  private final Random random = new Random(1);
  private final SimulatedPlatform platform = new SimulatedPlatform(time);

  /** An entry VM that watches the configuration and registers itself. */
  private final class Vm {
    private final SimulatedPlatform.Client client = platform.new Client();
    private final EntryVmRegistration registration;
    private final DirectorySync sync;

    Vm(String name) {
      registration =
          new EntryVmRegistration(client, time, random::nextDouble, name, "a:1", "north-a");
      sync = new DirectorySync(client, time, time, 3_600, kind -> {}, registration::repeat);
      sync.watch(ObjectKind.CONFIGURATION, 1_000, 0);
      registration.start();
    }
  }

  private void advanceMs(long durationMs) {
    time.advance(durationMs, TimeUnit.MILLISECONDS);
  }

  private static int registrations(List<Vm> vms) {
    return vms.stream().mapToInt(vm -> vm.client.registrations().size()).sum();
  }

  // Guards against a VM that peers never find, because the platform was away when it started.
  @Test
  void isRepeatedUntilThePlatformAcceptsIt() {
    platform.goDown();
    final Vm vm = new Vm("front-1");
    advanceMs(20_000);
    assertThat(platform.calls()).isLessThan(60);
    platform.recover();
    advanceMs(8_000);
    assertThat(vm.client.registrations()).containsExactly("front-1");
  }

  // Guards against VMs that peers no longer find after the platform was restored without their
  // entries, and against registrations that all come at the same moment.
  @Test
  void isRepeatedAfterEachRestoration() {
    final SimulatedPlatform.Copy empty = platform.copy();
    List<Vm> vms = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      vms.add(new Vm("front-" + i));
    }
    advanceMs(5_000);
    for (int restorations = 1; restorations <= 2; restorations++) {
      platform.goDown();
      advanceMs(1_000);
      platform.restore(empty);
      for (int i = 0; i < 10; i++) {
        int before = registrations(vms);
        advanceMs(500);
        assertThat(registrations(vms) - before).isLessThan(WRITES_PER_SECOND / 2);
      }
      for (Vm vm : vms) {
        assertThat(vm.client.registrations()).hasSize(restorations + 1);
      }
    }
  }

  // Guards against a VM that peers never find, because one call could not be sent.
  @Test
  void isRepeatedAfterCallThatThrows() {
    List<Error> errors = new ArrayList<>(List.of(new StackOverflowError("by the test")));
    List<String> registered = new ArrayList<>();
    ObjectDirectory directory =
        new ObjectDirectory() {
          @Override
          public CompletableFuture<DirectoryEntries> list(ObjectKind kind, boolean current) {
            throw new AssertionError();
          }

          @Override
          public CompletableFuture<DirectoryEntries> watch(
              ObjectKind kind, long revision, long waitMs) {
            throw new AssertionError();
          }

          @Override
          public CompletableFuture<Void> register(String name, String address, String dataCentre) {
            if (!errors.isEmpty()) {
              throw errors.remove(0);
            }
            registered.add(name);
            return CompletableFuture.completedFuture(null);
          }
        };
    EntryVmRegistration registration =
        new EntryVmRegistration(directory, time, () -> 0, "front-1", "a:1", "north-a");
    try {
      registration.start();
    } catch (StackOverflowError e) {
      assertThat(e).hasMessage("by the test");
    }
    advanceMs(1_000);
    assertThat(registered).containsExactly("front-1");
  }
}
