package org.clementineford.replica;

import io.netty.channel.EventLoopGroup;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.replica.internal.EndpointVmProcess;
import org.clementineford.serving.directory.ObjectDirectory;

/**
 * Process of an endpoint VM. All of its state is confined to one event loop, since the VM has one
 * core.
 */
public final class EndpointVm {
  private final EndpointVmProcess process;

  /**
   * Creates the process without starting it.
   *
   * @param settings settings of the VM
   * @param directory objects stored on the platform
   * @param decoder decodes those objects
   * @param engine the engine on this VM
   * @param weights client of the weight origin
   * @param eventLoops event loop group with one thread
   * @param clock monotonic clock
   * @param stalenessClock monotonic clock that also counts the time for which the VM was suspended
   * @param incarnation number that increases with each start of this process
   */
  public EndpointVm(
      VmSettings settings,
      ObjectDirectory directory,
      DirectoryDecoder decoder,
      LocalEngine engine,
      WeightOrigin weights,
      EventLoopGroup eventLoops,
      NanoClock clock,
      NanoClock stalenessClock,
      long incarnation) {
    this.process =
        new EndpointVmProcess(
            settings,
            directory,
            decoder,
            engine,
            weights,
            eventLoops,
            clock,
            stalenessClock,
            incarnation);
  }

  /**
   * Starts reading the platform's objects and serving chunks to peers.
   *
   * @throws ClementinefordException if an address cannot be bound
   */
  public void start() throws ClementinefordException {
    process.start();
  }

  /**
   * Stops the process within the stop time of its settings: begins nothing new, and ends uploads to
   * peers and an order to the engine. Peers then fetch chunks from other sources; the engine keeps
   * running.
   */
  public void stop() {
    process.stop();
  }
}
