package org.clementineford.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.PlatformException;
import org.clementineford.kernel.platform.ModelEngine;
import org.clementineford.kernel.platform.VmList;
import org.clementineford.kernel.platform.WeightSource;
import org.clementineford.standins.EngineOptions;
import org.clementineford.standins.EngineStandIn;
import org.clementineford.standins.ObjectApiStandIn;
import org.clementineford.standins.OriginStandIn;
import org.clementineford.standins.StandInContext;
import org.clementineford.standins.StandInFaultKind;
import org.clementineford.standins.WeightContent;
import org.clementineford.transport.LinkShaping;
import org.clementineford.transport.http.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpAdaptersTest {
  private EventLoopGroup eventLoops;
  private StandInContext context;
  private HttpClient client;
  private OriginStandIn origin;
  private EngineStandIn engine;

  @BeforeEach
  void start() throws Exception {
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    context = StandInContext.onLoopback(eventLoops, 1);
    client = new HttpClient(eventLoops, LinkShaping.NONE);
    origin = new OriginStandIn(context, 0);
    origin.start();
    engine = new EngineStandIn(context, EngineOptions.IMMEDIATE);
    engine.start();
  }

  @AfterEach
  void stop() {
    client.close();
    engine.close();
    origin.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static <T> T value(CompletableFuture<T> future) throws Exception {
    return future.get(10, TimeUnit.SECONDS);
  }

  private static ErrorKind failure(CompletableFuture<?> future) throws Exception {
    try {
      future.get(10, TimeUnit.SECONDS);
      throw new AssertionError("the call did not fail");
    } catch (ExecutionException e) {
      return ((PlatformException) e.getCause()).kind();
    }
  }

  private ModelEngine.LoadOrder order(String digest, long number) {
    String url = "http://" + origin.address() + "/weights/assistant/v1/data";
    return new ModelEngine.LoadOrder("assistant", "v1", digest, 5000, url, number);
  }

  // Guards against ranges that are short or shifted, or that never end when the source stalls.
  @Test
  void rangesAreExactOrFail() throws Exception {
    final WeightContent.Manifest manifest = origin.publish("assistant", "v1", 5000, 1000);
    WeightSource source = new HttpWeightSource(client, origin.address());
    assertThat(new String(value(source.manifest("assistant", "v1"))))
        .contains(manifest.digest(), manifest.chunkDigests().get(4));
    assertThat(value(source.read("assistant", "v1", 999, 3))).hasSize(3);
    assertThat(failure(source.read("assistant", "v1", 4999, 2))).isEqualTo(ErrorKind.UNAVAILABLE);
    assertThat(failure(source.manifest("assistant", "v9"))).isEqualTo(ErrorKind.NOT_FOUND);
    origin.faults().setNext(StandInFaultKind.STALL, 1);
    assertThat(failure(source.read("assistant", "v1", 0, 1000))).isEqualTo(ErrorKind.UNAVAILABLE);
  }

  // Guards against reporting a load order as done or failed when it is not.
  @Test
  void ordersToLoadReportWhatTheEngineDid() throws Exception {
    String digest = origin.publish("assistant", "v1", 5000, 1000).digest();
    ModelEngine adapter = new HttpModelEngine(client, engine.address());
    assertThat(value(adapter.readLoad()).loaded()).isNull();
    assertThat(failure(adapter.load(order("00", 3)))).isEqualTo(ErrorKind.UNAVAILABLE);
    ModelEngine.LoadedVersion loaded = value(adapter.load(order(digest, 3)));
    assertThat(loaded).isEqualTo(new ModelEngine.LoadedVersion("assistant", "v1", digest));
    assertThat(failure(adapter.load(order(digest, 2)))).isEqualTo(ErrorKind.FENCED);
    assertThat(value(adapter.readLoad()).loaded()).isEqualTo(loaded);
    engine.faults().setNext(StandInFaultKind.HANG, 1);
    assertThat(failure(adapter.load(order(digest, 4)))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    engine.faults().setNext(StandInFaultKind.OUTAGE, 2);
    assertThat(failure(adapter.load(order(digest, 4)))).isEqualTo(ErrorKind.UNAVAILABLE);
    assertThat(failure(adapter.readLoad())).isEqualTo(ErrorKind.UNAVAILABLE);
  }

  // Guards against losing fields of the VM list, and against reading an outage as an empty list.
  @Test
  void vmListIsReadFromTheAddressOfThePlatform() throws Exception {
    try (ObjectApiStandIn platform = new ObjectApiStandIn(context, 0)) {
      platform.start();
      List<VmList.Entry> entries =
          List.of(new VmList.Entry("vm-1", "lorient", "127.0.0.1:7001", true));
      platform.vmList().replace(entries);
      VmList list = new HttpVmList(client, platform.address());
      assertThat(value(list.read())).isEqualTo(entries);
      platform.startOutage();
      assertThat(failure(list.read())).isEqualTo(ErrorKind.UNAVAILABLE);
    }
  }
}
