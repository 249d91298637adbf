package org.clementineford.launcher;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.clementineford.fleet.VmSettings;
import org.clementineford.kernel.HostPort;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.clementineford.transport.http.HttpRequest;

/**
 * Runs both programs for a moment on loopback, without a platform, so that the build can write the
 * classes that they load into an archive, from which a process starts faster.
 */
final class ClassArchive {
  private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private ClassArchive() {}

  static void loadClasses(EventLoopGroup eventLoops) throws ClementinefordException {
    VmSettings settings = settings();
    Main.startEntryVm(settings, eventLoops);
    Main.startEndpointVm(settings, eventLoops);
    HttpClient client = new HttpClient(eventLoops, LinkShaping.NONE);
    HttpRequest request = new HttpRequest("GET", "/", Map.of("host", "localhost"), new byte[0]);
    client.call(settings.callerAddress().orElseThrow(), request, 500);
    LockSupport.parkNanos(RUN_NANOS);
    Runtime.getRuntime().exit(0);
  }

  private static VmSettings settings() {
    HostPort any = new HostPort("127.0.0.1", 0);
    HostPort nothing = new HostPort("127.0.0.1", 1);
    return new VmSettings(
        "build",
        "none",
        "none",
        Map.of("none", "none"),
        Optional.of(any),
        Optional.of(any),
        any,
        any,
        List.of(nothing),
        Optional.of(nothing),
        "none",
        nothing,
        1,
        new VmSettings.Bounds(0, 0, false, 0, 0, 0, 1));
  }
}
