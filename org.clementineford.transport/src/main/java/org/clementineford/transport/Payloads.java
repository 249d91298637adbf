package org.clementineford.transport;

import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.wire.Acknowledgement;
import org.clementineford.wire.Failure;
import org.clementineford.wire.Payload;

/** Creates common payloads and converts between kernel types and their Thrift structs. */
public final class Payloads {
  private Payloads() {}

  /**
   * Creates a failure reply.
   *
   * @param kind name of the kind of failure
   * @param message description of the failure and its remedy
   * @return the payload
   */
  public static Payload failure(String kind, String message) {
    return Payload.failure(new Failure(kind, message));
  }

  /**
   * Creates an empty reply.
   *
   * @return the payload
   */
  public static Payload acknowledgement() {
    return Payload.acknowledgement(new Acknowledgement());
  }

  /**
   * Converts an identity to its Thrift struct.
   *
   * @param identity the identity
   * @return the struct
   */
  public static org.clementineford.wire.VmIdentity toWire(VmIdentity identity) {
    return new org.clementineford.wire.VmIdentity(
        identity.vm(),
        org.clementineford.wire.VmRole.valueOf(identity.role().name()),
        identity.dataCentre(),
        identity.region(),
        identity.incarnation(),
        identity.address().toString());
  }

  /**
   * Converts an identity from its Thrift struct.
   *
   * @param identity the struct
   * @return the identity
   * @throws SettingException if the address in the struct is malformed
   */
  public static VmIdentity fromWire(org.clementineford.wire.VmIdentity identity)
      throws SettingException {
    return new VmIdentity(
        identity.getVm(),
        VmRole.valueOf(identity.getRole().name()),
        identity.getDataCentre(),
        identity.getRegion(),
        identity.getIncarnation(),
        HostPort.parse(identity.getAddress()));
  }
}
