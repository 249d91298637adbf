package org.clementineford.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.serving.model.Endpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A load on servers of which some leave and others pause, while entry VMs restart or are cut off.
 */
class EndpointMarksLoadTest {
  private static final int SERVERS = 9;
  private static final long STEP_MS = 5;
  private static final long DURATION_MS = 40_000;

  /** Longest time from a server's word to the last request of a VM that has passed it on. */
  private static final long DRAIN_MS = 2_000;

  private static final long PAUSE_SLACK_MS = 500;
  private static final int MAX_REQUESTS_IN_PAUSE = 2;

  private final Random random = new Random(5);
  private long nowMs;

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private final class Server {
    private final int index;
    private int incarnation = 1;
    private boolean leaving;
    private boolean delisted;
    private long pausedUntilMs;

    Server(int index) {
      this.index = index;
    }

    Endpoint listed() {
      HostPort address = new HostPort("10.0.0." + index, 80);
      return new Endpoint("s" + index, incarnation, "plain", address, "x", false, 0);
    }
  }

  /** What a VM was told by a server, and the requests that it sent to it in a pause. */
  private static final class Word {
    private long leavingAtMs = Long.MAX_VALUE / 2;
    private long pauseFromMs;
    private long pauseUntilMs;
    private int requestsInPause;
  }

  private final class EntryVm {
    private ListedEndpointTable table = new ListedEndpointTable();
    private final Placement placement = new Placement("x", random::nextDouble);
    private final Map<String, Word> words = new HashMap<>();
    private long cutOffUntilMs;
    private int refusedWhileFree;
    private int lateToLeaving;
    private int lateToPaused;

    void list() {
      if (nowMs >= cutOffUntilMs) {
        table.update(
            servers.stream().filter(server -> !server.delisted).map(Server::listed).toList());
      }
    }

    void restart() {
      table = new ListedEndpointTable();
      words.clear();
      list();
    }

    /** Sends a request, which a server that turns it away lets go to another one. */
    void send() {
      Set<String> tried = new HashSet<>();
      for (int attempt = 0; attempt < SERVERS; attempt++) {
        Optional<EndpointState> chosen =
            placement.choosePlainEndpoint(table.ofService("plain"), tried, 1_000, true, nanos());
        if (chosen.isEmpty()) {
          refusedWhileFree += attempt == 0 && knowsFreeServer() ? 1 : 0;
          return;
        }
        tried.add(chosen.get().endpoint().id());
        if (arrive(chosen.get())) {
          return;
        }
      }
    }

    /** Returns whether a server of this VM's listing serves, and has for a second. */
    private boolean knowsFreeServer() {
      return table.ofService("plain").stream()
          .map(EndpointState::endpoint)
          .anyMatch(
              listed -> {
                Server server = servers.get(Integer.parseInt(listed.id().substring(1)));
                return listed.incarnation() == server.incarnation
                    && !server.leaving
                    && !server.delisted
                    && nowMs > server.pausedUntilMs + 1_000;
              });
    }

    private boolean arrive(EndpointState state) {
      final Server server = servers.get(Integer.parseInt(state.endpoint().id().substring(1)));
      Word word =
          words.computeIfAbsent(
              state.endpoint().id() + "@" + state.endpoint().incarnation(), key -> new Word());
      lateToLeaving += nowMs > word.leavingAtMs + DRAIN_MS ? 1 : 0;
      if (nowMs > word.pauseFromMs + PAUSE_SLACK_MS && nowMs < word.pauseUntilMs) {
        word.requestsInPause++;
        lateToPaused += word.requestsInPause > MAX_REQUESTS_IN_PAUSE ? 1 : 0;
      }
      state.sent(0);
      state.ended();
      if (server.leaving) {
        state.markLeaving();
        word.leavingAtMs = Math.min(word.leavingAtMs, nowMs);
      }
      if (nowMs < server.pausedUntilMs) {
        double seconds = (server.pausedUntilMs - nowMs) / 1_000.0;
        state.pause().begin(seconds, nanos());
        word.pauseFromMs = nowMs;
        word.pauseUntilMs = server.pausedUntilMs;
        word.requestsInPause = 0;
        return false;
      }
      state.answered(nanos());
      return true;
    }
  }

  private final List<Server> servers = new ArrayList<>();

  private void disturb(List<EntryVm> vms) {
    Server server = servers.get(random.nextInt(SERVERS));
    boolean othersServe = servers.stream().filter(each -> !each.leaving).count() > 4;
    if (random.nextInt(100) == 0 && othersServe && !server.leaving) {
      server.leaving = true;
    } else if (random.nextInt(100) == 0 && server.leaving) {
      server.delisted = true;
    } else if (random.nextInt(60) == 0 && server.delisted) {
      server.incarnation++;
      server.leaving = false;
      server.delisted = false;
      server.pausedUntilMs = 0;
    } else if (random.nextInt(60) == 0 && nowMs > server.pausedUntilMs) {
      server.pausedUntilMs = nowMs + 500 + random.nextInt(6_000);
    }
    EntryVm vm = vms.get(random.nextInt(vms.size()));
    if (random.nextInt(80) == 0) {
      vm.restart();
    } else if (random.nextInt(80) == 0) {
      vm.cutOffUntilMs = nowMs + random.nextInt(4_000);
    }
  }

  // Guards against requests to servers that said that they leave or want a pause, and against
  // refusals while another server is free.
  @ParameterizedTest
  @ValueSource(ints = {7, 30, 100})
  void serversAreLeftAloneAsTheySay(int size) {
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new Server(i));
    }
    List<EntryVm> vms = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      vms.add(new EntryVm());
    }
    for (nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      if (nowMs % 500 == 0) {
        vms.forEach(EntryVm::list);
      }
      disturb(vms);
      for (int i = 0; i < 3; i++) {
        vms.get(random.nextInt(size)).send();
      }
    }
    assertThat(vms).allMatch(vm -> vm.lateToLeaving == 0);
    assertThat(vms).allMatch(vm -> vm.lateToPaused == 0);
    assertThat(vms.stream().mapToInt(vm -> vm.refusedWhileFree).sum()).isZero();
  }
}
