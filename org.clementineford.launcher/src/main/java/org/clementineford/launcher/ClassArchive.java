package org.clementineford.launcher;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.SystemNanoClock;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;

/**
 * Runs the programs of both roles for a short time on loopback, without a platform. The build
 * writes the classes that they load into a class data sharing archive, which shortens the start of
 * a process.
 */
final class ClassArchive {
  /** Time for which the programs run, in nanoseconds. */
  private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private ClassArchive() {}

  /** Runs both programs, sends one request, and ends the process. */
  static void loadClasses(EventLoopGroup eventLoops) throws ClementinefordException {
    VmSettings settings = settings();
    final ProcessLifecycle.Stop stopEntryVm = VmStart.startEntryVm(settings, eventLoops);
    final ProcessLifecycle.Stop stopEndpointVm = VmStart.startEndpointVm(settings, eventLoops);
    HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
    HttpRequest request = new HttpRequest("GET", "/", Map.of("host", "localhost"), new byte[0]);
    client.call(settings.callerAddress().orElseThrow(), request, 500);
    LockSupport.parkNanos(RUN_NANOS);
    stopEndpointVm.run(SystemNanoClock.INSTANCE.nanoTime());
    stopEntryVm.run(SystemNanoClock.INSTANCE.nanoTime());
    Runtime.getRuntime().exit(0);
  }

  /** Returns settings with free local ports and addresses at which no server listens. */
  private static VmSettings settings() {
    HostPort freePort = new HostPort("127.0.0.1", 0);
    HostPort closedPort = new HostPort("127.0.0.1", 1);
    return new VmSettings(
        "build",
        "none",
        "none",
        Map.of("none", "none"),
        Optional.of(freePort),
        Optional.of(freePort),
        freePort,
        freePort,
        List.of(closedPort),
        Optional.of(closedPort),
        "none",
        closedPort,
        1,
        new VmSettings.Bounds(0, 0, false, 0, 0, 0, 1, 0, 0, 0, 0));
  }
}
