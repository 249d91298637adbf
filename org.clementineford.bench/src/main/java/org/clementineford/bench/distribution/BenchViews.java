package org.clementineford.bench.distribution;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.node.ConfigurationView;
import org.clementineford.node.MembershipView;

/** Configuration and membership that the measurement sets, the same for all processes. */
final class BenchViews implements MembershipView {
  private final List<Consumer<ConfigurationSnapshot>> configurationListeners =
      new CopyOnWriteArrayList<>();
  private final List<Consumer<List<Member>>> memberListeners = new CopyOnWriteArrayList<>();
  private volatile ConfigurationSnapshot snapshot = ConfigurationSnapshot.EMPTY;
  private volatile List<Member> members = List.of();

  ConfigurationView configuration() {
    return new ConfigurationView() {
      @Override
      public ConfigurationSnapshot current() {
        return snapshot;
      }

      @Override
      public void onChange(Consumer<ConfigurationSnapshot> listener) {
        configurationListeners.add(listener);
      }
    };
  }

  void accept(ConfigurationSnapshot next) {
    snapshot = next;
    configurationListeners.forEach(listener -> listener.accept(next));
  }

  synchronized void join(VmIdentity vm) {
    List<Member> next = new java.util.ArrayList<>(members);
    next.add(new Member(vm, Phase.ALIVE));
    members = List.copyOf(next);
    memberListeners.forEach(listener -> listener.accept(members));
  }

  synchronized void remove(String vm) {
    members = members.stream().filter(member -> !member.identity().vm().equals(vm)).toList();
    memberListeners.forEach(listener -> listener.accept(members));
  }

  @Override
  public List<Member> members() {
    return members;
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    memberListeners.add(listener);
  }
}
