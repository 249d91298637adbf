package org.clementineford.transport;

import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.VmIdentity;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.wire.Acknowledgement;
import org.clementineford.wire.Failure;
import org.clementineford.wire.Payload;

/** Conversions between values of the kernel and payloads. */
public final class Payloads {
  private Payloads() {}

  /**
   * Makes a failure reply.
   *
   * @param kind short name of the failure
   * @param message what failed and what to do about it
   * @return the payload
   */
  public static Payload failure(String kind, String message) {
    return Payload.failure(new Failure(kind, message));
  }

  /**
   * Makes an empty reply.
   *
   * @return the payload
   */
  public static Payload acknowledgement() {
    return Payload.acknowledgement(new Acknowledgement());
  }

  /**
   * Converts an identity for sending.
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
   * Converts a received identity.
   *
   * @param identity the struct
   * @return the identity
   * @throws SettingException if the address is malformed
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
