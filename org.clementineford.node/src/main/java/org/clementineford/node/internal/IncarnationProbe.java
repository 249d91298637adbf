package org.clementineford.node.internal;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.transport.PeerNetwork;
import org.clementineford.wire.MemberState;
import org.clementineford.wire.MembersExchange;
import org.clementineford.wire.Payload;
import org.clementineford.wire.VmRole;

/**
 * Asks peers for the last incarnation of this VM. A replacement whose wall clock is behind that of
 * the VM's earlier life would otherwise start with a lower incarnation and be ignored.
 */
public final class IncarnationProbe {
  private static final long TIMEOUT_MS = 1000;

  private IncarnationProbe() {}

  /**
   * Chooses an incarnation.
   *
   * @param network connections that state no address of a listener; closed by the caller
   * @param seeds peers to ask
   * @param wanted identity by the settings and the wall clock
   * @return the wanted identity, or one incarnation above the highest that a seed knows
   */
  public static VmIdentity choose(PeerNetwork network, List<HostPort> seeds, VmIdentity wanted) {
    org.clementineford.wire.VmIdentity asker = network.self().deepCopy().setRole(VmRole.CLIENT);
    MembersExchange question =
        new MembersExchange().setSender(asker).setMembers(List.of()).setWantAll(true);
    List<CompletableFuture<Long>> answers =
        seeds.stream()
            .map(
                seed ->
                    network
                        .call(seed, Payload.membersExchange(question))
                        .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                        .handle(
                            (reply, failure) -> failure == null ? known(reply, wanted.vm()) : 0L))
            .toList();
    long highest = answers.stream().mapToLong(CompletableFuture::join).max().orElse(0);
    return new VmIdentity(
        wanted.vm(),
        wanted.role(),
        wanted.dataCentre(),
        wanted.region(),
        Math.max(wanted.incarnation(), highest + 1),
        wanted.address());
  }

  private static long known(Payload reply, String vm) {
    if (!reply.isSetMembersExchange()) {
      return 0;
    }
    return reply.getMembersExchange().getMembers().stream()
        .map(MemberState::getMember)
        .filter(member -> member.getVm().equals(vm))
        .mapToLong(org.clementineford.wire.VmIdentity::getIncarnation)
        .max()
        .orElse(0);
  }
}
