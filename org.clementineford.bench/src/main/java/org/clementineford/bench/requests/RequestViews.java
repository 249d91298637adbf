package org.clementineford.bench.requests;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.clementineford.configuration.ConfigurationSnapshot;
import org.clementineford.endpoint.ServedVersions;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.node.ConfigurationView;
import org.clementineford.node.MembershipView;

/** Configuration and membership set by the measurement, identical for all daemons. */
final class RequestViews implements MembershipView {
  private final ConfigurationSnapshot snapshot;
  private final List<Consumer<List<Member>>> listeners = new CopyOnWriteArrayList<>();
  private final List<Member> members = new CopyOnWriteArrayList<>();

  RequestViews(ConfigurationSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  ConfigurationView configuration() {
    return new ConfigurationView() {
      @Override
      public ConfigurationSnapshot current() {
        return snapshot;
      }

      @Override
      public void onChange(Consumer<ConfigurationSnapshot> listener) {
        // The configuration does not change during a measurement.
      }
    };
  }

  /** Returns a view in which every model is served in its configured version. */
  ServedVersions servedVersions(String digest) {
    return new ServedVersions() {
      @Override
      public Optional<ServedVersion> current(String model) {
        return Optional.ofNullable(snapshot.models().get(model))
            .map(wanted -> new ServedVersion(model, wanted.version(), digest));
      }

      @Override
      public void onChange(Consumer<ServedVersion> listener) {
        // The served version does not change during a measurement.
      }
    };
  }

  /** Returns the membership view of one daemon, which gets no more calls once it is closed. */
  MembershipView membershipFor(BooleanSupplier open) {
    return new MembershipView() {
      @Override
      public List<Member> members() {
        return RequestViews.this.members();
      }

      @Override
      public void onChange(Consumer<List<Member>> listener) {
        RequestViews.this.onChange(
            changed -> {
              if (open.getAsBoolean()) {
                listener.accept(changed);
              }
            });
      }
    };
  }

  void join(VmIdentity vm) {
    members.removeIf(member -> member.identity().vm().equals(vm.vm()));
    members.add(new Member(vm, Phase.ALIVE));
    listeners.forEach(listener -> listener.accept(members()));
  }

  @Override
  public List<Member> members() {
    return List.copyOf(members);
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    listeners.add(listener);
  }
}
