package org.clementineford.node.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.concurrent.NanoClock;
import org.clementineford.configuration.membership.MemberPhase;
import org.clementineford.configuration.membership.MemberStatement;
import org.clementineford.configuration.membership.MembershipTable;
import org.clementineford.configuration.membership.MembershipTiming;
import org.clementineford.configuration.membership.MembershipTopology;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.Scheduler;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.platform.VmList;
import org.clementineford.kernel.timeline.Timeline;
import org.clementineford.node.MembershipView;
import org.clementineford.node.PayloadRouter;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.wire.MembersExchange;
import org.clementineford.wire.Payload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Exchanges membership statements with peers and probes the members that this process observes. */
public final class MembershipAgent implements MembershipView {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipAgent.class);
  // 12 statements of about 90 bytes keep a message near 1 KB.
  private static final int UPDATES_PER_MESSAGE = 12;
  private static final int PAGE_SIZE = 12;
  private static final long SEED_PERIOD_TICKS = 30;
  private static final long URGENT_DELAY_MS = 50;
  // A connection may be closed as unneeded while a notice is sent; the next attempt opens another.
  private static final int LEAVE_ATTEMPTS = 3;
  // Limits the connections that one read of a long list opens.
  private static final int MAX_CONTACTS_PER_LIST = 8;

  private final PeerNetwork network;
  private final NanoClock clock;
  private final Scheduler scheduler;
  private final MembershipTiming timing;
  private final MembershipTable table;
  private final List<HostPort> seeds;
  private final MemberEvents events;
  private final PeerConnections connections;
  private final List<Consumer<List<Member>>> listeners = new CopyOnWriteArrayList<>();
  private ConfigurationAgent configuration;
  private List<Member> members = List.of();
  private Set<String> leavingVms = Set.of();
  private long publishedVersion = -1;
  private long ticks;
  private String pageAfter = "";
  private boolean joined;
  private boolean urgentExchangeScheduled;
  private Scheduler.Cancellable timer = () -> {};

  /**
   * Creates an agent whose table holds only this process.
   *
   * @param self identity of this process with its actual address
   * @param network connections to peers
   * @param clock monotonic clock
   * @param scheduler timers
   * @param timing times of the failure detection
   * @param seeds peers to contact at startup
   * @param timeline events of this process
   */
  public MembershipAgent(
      VmIdentity self,
      PeerNetwork network,
      NanoClock clock,
      Scheduler scheduler,
      MembershipTiming timing,
      List<HostPort> seeds,
      Timeline timeline) {
    this.network = network;
    this.clock = clock;
    this.scheduler = scheduler;
    this.timing = timing;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
    this.table = new MembershipTable(self, timing);
    this.connections = new PeerConnections(network);
    this.events = new MemberEvents(self.vm(), timeline);
    this.joined = this.seeds.isEmpty();
  }

  /**
   * Starts to exchange statements.
   *
   * @param payloads router of the process
   * @param configurationAgent agent of the configuration, which receives the revisions of peers
   */
  public void start(PayloadRouter payloads, ConfigurationAgent configurationAgent) {
    this.configuration = configurationAgent;
    payloads.register(Payload._Fields.MEMBERS_EXCHANGE, this::onExchange);
    configurationAgent.onChange(snapshot -> onLeavingVms(snapshot.leavingVms()));
    publishChanges();
    seeds.forEach(seed -> exchange(seed, "", true));
    timer = scheduler.scheduleWithFixedDelay(this::tick, timing.tickNanos(), TimeUnit.NANOSECONDS);
  }

  /** Stops the periodic exchange of statements. */
  public void stop() {
    timer.cancel();
  }

  /**
   * Marks this process as leaving and notifies peers immediately.
   *
   * @return a future that completes when every peer has answered or failed
   */
  public CompletableFuture<Void> leave() {
    synchronized (this) {
      table.leave(clock.nanoTime());
    }
    publishChanges();
    return CompletableFuture.allOf(
        subjectsOrSeeds().stream()
            .map(address -> notifyOfLeaving(address, LEAVE_ATTEMPTS))
            .toArray(CompletableFuture[]::new));
  }

  private CompletableFuture<Boolean> notifyOfLeaving(HostPort address, int attempts) {
    return exchange(address, "", false)
        .thenCompose(
            answered ->
                answered || attempts == 1
                    ? CompletableFuture.completedFuture(answered)
                    : notifyOfLeaving(address, attempts - 1));
  }

  @Override
  public synchronized List<Member> members() {
    return members;
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    listeners.add(listener);
  }

  /**
   * Returns the topology: which members watch the platform, observe others and announce to others.
   *
   * @return the topology of the current members
   */
  public synchronized MembershipTopology topology() {
    return table.topology();
  }

  /**
   * Returns the peers to which this process announces a new revision.
   *
   * @return the observed members, and for an entry VM also one entry VM of each other data centre
   */
  public synchronized List<HostPort> receivers() {
    VmIdentity self = table.ownStatement().identity();
    List<HostPort> receivers = new ArrayList<>();
    table.topology().subjects(self.vm()).forEach(subject -> receivers.add(subject.address()));
    if (self.role() == VmRole.ENTRY) {
      table.topology().remoteEntryVms(self).forEach(remote -> receivers.add(remote.address()));
    }
    return receivers;
  }

  private void onLeavingVms(Set<String> vms) {
    synchronized (this) {
      leavingVms = vms;
      publishedVersion = -1;
    }
    publishChanges();
  }

  /**
   * Processes the platform's VM list: contacts unknown VMs and marks VMs that are leaving.
   *
   * @param entries the entries, which may be outdated
   */
  public void onVmList(List<VmList.Entry> entries) {
    Set<String> known = new HashSet<>();
    Set<String> leaving = new HashSet<>();
    synchronized (this) {
      table.allStatements().forEach(statement -> known.add(statement.vm()));
      entries.stream().filter(VmList.Entry::leaving).forEach(entry -> leaving.add(entry.vm()));
      table.markLeaving(leaving, clock.nanoTime());
    }
    publishChanges();
    entries.stream()
        .filter(entry -> !known.contains(entry.vm()))
        .limit(MAX_CONTACTS_PER_LIST)
        .forEach(this::contact);
  }

  private void contact(VmList.Entry entry) {
    try {
      exchange(HostPort.parse(entry.address()), "", false);
    } catch (SettingException e) {
      LOG.warn("ignoring VM {} from the platform's VM list: {}", entry.vm(), e.getMessage());
    }
  }

  private void closeUnlessNeeded(HostPort peer) {
    synchronized (this) {
      if (!connections.isUnneeded(
          peer, table.ownStatement().identity().role(), table.allStatements())) {
        return;
      }
    }
    connections.closeIfIdle(peer);
  }

  private void closeFormerReceivers() {
    List<HostPort> former;
    synchronized (this) {
      former = connections.replaceReceivers(receivers());
    }
    former.forEach(this::closeUnlessNeeded);
  }

  private void tick() {
    closeFormerReceivers();
    List<VmIdentity> probed;
    VmIdentity remote = null;
    HostPort seed = null;
    synchronized (this) {
      ticks++;
      table.tick(clock.nanoTime());
      VmIdentity self = table.ownStatement().identity();
      probed = table.probeTargets(ticks);
      List<VmIdentity> remotes = table.topology().remoteEntryVms(self);
      if (table.topology().isWatcher(self) && !remotes.isEmpty()) {
        remote = remotes.get((int) (ticks % remotes.size()));
      }
      boolean seedDue = !joined || probed.isEmpty() || ticks % SEED_PERIOD_TICKS == 0;
      if (seedDue && !seeds.isEmpty()) {
        seed = seeds.get((int) (ticks % seeds.size()));
      }
    }
    publishChanges();
    probed.forEach(subject -> exchange(subject.address(), subject.vm(), false));
    if (remote != null) {
      exchange(remote.address(), "", false);
    }
    if (seed != null) {
      exchange(seed, "", !joined);
    }
  }

  /** Returns a future of whether the peer answered. */
  private CompletableFuture<Boolean> exchange(HostPort address, String probedVm, boolean wantAll) {
    Probe probe = new Probe(probedVm);
    if (!probedVm.isEmpty()) {
      scheduler.schedule(probe::timeOut, timing.tickNanos(), TimeUnit.NANOSECONDS);
    }
    MembersExchange message;
    synchronized (this) {
      List<MemberStatement> statements = new ArrayList<>(table.statementsToRefute(probedVm));
      if (!connections.hadDigest(address, table.digest())) {
        statements.addAll(table.takeUpdates(UPDATES_PER_MESSAGE));
      }
      message = message(statements, wantAll);
    }
    return network
        .call(address, Payload.membersExchange(message))
        .handle(
            (reply, failure) -> {
              if (failure != null || !reply.isSetMembersExchange()) {
                probe.timeOut();
                return false;
              }
              probe.answered();
              if (wantAll) {
                joined = true;
              }
              receive(reply.getMembersExchange());
              if (probedVm.isEmpty()) {
                closeUnlessNeeded(address);
              }
              return true;
            });
  }

  private MembersExchange message(List<MemberStatement> statements, boolean wantAll) {
    return new MembersExchange()
        .setSender(network.self())
        .setMembers(WireMembers.toWire(statements))
        .setRevision(configuration.current().revision())
        .setTableDigest(table.digest())
        .setWantAll(wantAll);
  }

  private void onExchange(Payload opening, IncomingExchange exchange) {
    MembersExchange received = opening.getMembersExchange();
    receive(received);
    MembersExchange reply;
    synchronized (this) {
      List<MemberStatement> statements =
          new ArrayList<>(table.statementsToRefute(received.getSender().getVm()));
      if (received.isWantAll()) {
        statements.addAll(table.allStatements());
      } else if (received.getTableDigest() != table.digest()) {
        statements.addAll(table.takeUpdates(UPDATES_PER_MESSAGE));
        statements.addAll(nextPage());
      }
      reply = message(statements, false);
    }
    exchange.finish(Payload.membersExchange(reply));
  }

  private List<MemberStatement> nextPage() {
    List<MemberStatement> page = table.page(pageAfter, PAGE_SIZE);
    pageAfter = page.size() < PAGE_SIZE ? "" : page.get(page.size() - 1).vm();
    return page;
  }

  private void receive(MembersExchange message) {
    try {
      VmIdentity sender = Payloads.fromWire(message.getSender());
      List<MemberStatement> statements = new ArrayList<>();
      if (sender.role() != VmRole.CLIENT) {
        statements.add(MemberStatement.own(sender, MemberPhase.ALIVE, 1));
      }
      statements.addAll(WireMembers.fromWire(message.getMembers()));
      synchronized (this) {
        table.receive(statements, clock.nanoTime());
        connections.recordDigest(sender.address(), message.getTableDigest());
      }
      publishChanges();
      configuration.onPeerRevision(message.getRevision(), sender.address());
    } catch (SettingException e) {
      LOG.warn("ignoring membership statements of a peer: {}", e.getMessage());
    }
  }

  private void publishChanges() {
    List<Member> current;
    boolean scheduleUrgentExchange;
    synchronized (this) {
      if (publishedVersion == table.version()) {
        return;
      }
      publishedVersion = table.version();
      boolean urgent = events.record(table.allStatements());
      members = MemberEvents.toMembers(table.allStatements(), leavingVms);
      current = members;
      scheduleUrgentExchange = urgent && !urgentExchangeScheduled;
      urgentExchangeScheduled |= scheduleUrgentExchange;
    }
    listeners.forEach(listener -> listener.accept(current));
    if (scheduleUrgentExchange) {
      scheduler.schedule(this::notifySubjects, URGENT_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Propagates joining and leaving immediately instead of at the next ticks. */
  private void notifySubjects() {
    subjectsOrSeeds().forEach(address -> exchange(address, "", false));
  }

  private synchronized List<HostPort> subjectsOrSeeds() {
    urgentExchangeScheduled = false;
    // A process that stops right after its start may not know any member yet.
    return receivers().isEmpty() ? seeds : receivers();
  }

  /**
   * Result of one probe. Ignores a failure after an answer, but counts an answer after a failure.
   */
  private final class Probe {
    private final String vm;
    private boolean done;

    Probe(String vm) {
      this.vm = vm;
    }

    void timeOut() {
      synchronized (MembershipAgent.this) {
        if (!done && !vm.isEmpty()) {
          table.probeFailed(vm, clock.nanoTime());
        }
        done = true;
      }
    }

    void answered() {
      synchronized (MembershipAgent.this) {
        done = true;
        if (!vm.isEmpty()) {
          table.probeAnswered(vm);
        }
      }
    }
  }
}
