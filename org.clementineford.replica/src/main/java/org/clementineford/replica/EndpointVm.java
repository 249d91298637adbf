package org.clementineford.replica;

import io.netty.channel.EventLoopGroup;
import org.agrona.concurrent.NanoClock;
import org.clementineford.fleet.DirectoryDecoder;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.replica.internal.Replica;
import org.clementineford.serving.directory.ObjectDirectory;

/**
 * The process of an endpoint VM. All its state belongs to one event loop, since the VM has one
 * core.
 */
public final class EndpointVm {
  private final Replica replica;

  /**
   * Creates a process that does nothing yet.
   *
   * @param settings settings of the VM
   * @param directory the platform's objects
   * @param decoder decodes those objects
   * @param engine the engine of this VM
   * @param weights the origin of weights
   * @param eventLoops a group of one thread
   * @param clock monotonic clock
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
      long incarnation) {
    this.replica =
        new Replica(settings, directory, decoder, engine, weights, eventLoops, clock, incarnation);
  }

  /**
   * Starts to read the platform's objects and to serve peers.
   *
   * @throws ClementinefordException if an address cannot be used
   */
  public void start() throws ClementinefordException {
    replica.start();
  }

  /** Stops. Peers find their chunks elsewhere, and the engine goes on. */
  public void stop() {
    replica.stop();
  }
}
