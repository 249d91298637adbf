package org.clementineford.transport;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Names of Netty's channels, which appear only in logs. By default Netty derives them from network
 * interfaces and the process id, and warns if a VM has no suitable interface.
 */
public final class ChannelNames {
  private static final String PROCESS_PROPERTY = "io.netty.processId";
  private static final String MACHINE_PROPERTY = "io.netty.machineId";

  private ChannelNames() {}

  /**
   * Has Netty name channels by random numbers, unless the system properties {@code
   * io.netty.processId} or {@code io.netty.machineId} are set. To be called before the first
   * channel is created.
   */
  public static void useRandomNumbers() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    setIfAbsent(PROCESS_PROPERTY, Integer.toString(random.nextInt(Integer.MAX_VALUE)));
    setIfAbsent(MACHINE_PROPERTY, machineName(random));
  }

  /** Returns six random bytes in the form of a MAC address, which Netty requires. */
  private static String machineName(ThreadLocalRandom random) {
    byte[] bytes = new byte[6];
    random.nextBytes(bytes);
    return HexFormat.ofDelimiter(":").formatHex(bytes);
  }

  private static void setIfAbsent(String property, String value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, value);
    }
  }
}
