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
 * Asks peers for the latest incarnation of this VM. Without this, a replacement whose wall clock is
 * behind that of its predecessor would start with a lower incarnation, and peers would ignore it.
 */
public final class IncarnationProbe {
  private static final long TIMEOUT_MS = 1000;

  private IncarnationProbe() {}

  /**
   * Chooses an incarnation.
   *
   * @param network connections that announce no listener address; closed by the caller
   * @param seeds peers to ask
   * @param configured identity from the settings and the wall clock
   * @return the configured identity; its incarnation is at least one above the highest that a seed
   *     reports
   */
  public static VmIdentity choose(
      PeerNetwork network, List<HostPort> seeds, VmIdentity configured) {
    org.clementineford.wire.VmIdentity sender = network.self().deepCopy().setRole(VmRole.CLIENT);
    MembersExchange request =
        new MembersExchange().setSender(sender).setMembers(List.of()).setWantAll(true);
    List<CompletableFuture<Long>> answers =
        seeds.stream()
            .map(
                seed ->
                    network
                        .call(seed, Payload.membersExchange(request))
                        .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                        .handle(
                            (reply, failure) ->
                                failure == null ? highestIncarnation(reply, configured.vm()) : 0L))
            .toList();
    long highest = answers.stream().mapToLong(CompletableFuture::join).max().orElse(0);
    return new VmIdentity(
        configured.vm(),
        configured.role(),
        configured.dataCentre(),
        configured.region(),
        Math.max(configured.incarnation(), highest + 1),
        configured.address());
  }

  private static long highestIncarnation(Payload reply, String vm) {
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
