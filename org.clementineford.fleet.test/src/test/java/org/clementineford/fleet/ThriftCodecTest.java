package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.wire.ChunkHoldings;
import org.clementineford.wire.CopyPosition;
import org.clementineford.wire.CopyPositions;
import org.clementineford.wire.EngineReport;
import org.clementineford.wire.FleetDatagram;
import org.clementineford.wire.PositionsRequest;
import org.clementineford.wire.PromptCrash;
import org.clementineford.wire.ReportSubscription;
import org.clementineford.wire.SuspectRecord;
import org.clementineford.wire.SuspectRecords;
import org.junit.jupiter.api.Test;

class ThriftCodecTest {
  /** Mutations in CI; 10,000 were run by hand. */
  private static final int MUTATIONS = Integer.getInteger("mutations", 500);

  private static List<FleetDatagram> messages() {
    PromptCrash crash = new PromptCrash(1, 2, 3);
    SuspectRecord suspect = new SuspectRecord("pool", "part", List.of(crash), false);
    CopyPosition position = new CopyPosition("CONFIGURATION", 1, 7, 900);
    return List.of(
        FleetDatagram.subscription(new ReportSubscription("vm")),
        FleetDatagram.report(new EngineReport().setIncarnation(4).setPace(1.5).setNumber(9)),
        FleetDatagram.holdings(new ChunkHoldings().setModel("m").setVersion(2).setChunks(8)),
        FleetDatagram.suspects(new SuspectRecords(5, List.of(suspect, suspect), true)),
        FleetDatagram.positionsRequest(new PositionsRequest(11)),
        FleetDatagram.positions(new CopyPositions(true, List.of(position, position))));
  }

  private static byte[] mutated(byte[] message, Random random) {
    byte[] bytes = Arrays.copyOf(message, message.length);
    switch (random.nextInt(4)) {
      case 0:
        return Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
      case 1:
        return Arrays.copyOf(bytes, bytes.length + random.nextInt(2_000));
      case 2:
        for (int i = random.nextInt(bytes.length); i < bytes.length; i += 1 + random.nextInt(4)) {
          bytes[i] = (byte) random.nextInt(256);
        }
        return bytes;
      default:
        bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        return bytes;
    }
  }

  // Guards against an error, a long loop or a large allocation because of a message that was
  // truncated, changed or extended.
  @Test
  void mutatedMessagesAreDecodedOrRejected() {
    List<byte[]> valid = messages().stream().map(ThriftCodec::encode).toList();
    IntStream.range(0, MUTATIONS)
        .forEach(
            seed -> {
              Random random = new Random(seed);
              byte[] bytes = mutated(valid.get(random.nextInt(valid.size())), random);
              try {
                assertThat(ThriftCodec.decode(new FleetDatagram(), bytes)).isNotNull();
              } catch (ClementinefordException e) {
                assertThat(e).as("seed %d", seed).hasMessageContaining("cannot decode");
              }
            });
  }

  // Guards against allocating what a message claims to hold.
  @Test
  void listsLongerThanTheirMessageAreRejected() {
    // The union's field 4 is a struct whose field 2 is a list of 2,147,483,647 structs.
    byte[] message = {0x4c, 0x29, (byte) 0xfc, -1, -1, -1, -1, 0x07, 0, 0};
    assertThatThrownBy(() -> ThriftCodec.decode(new FleetDatagram(), message))
        .isInstanceOf(ClementinefordException.class);
  }
}
