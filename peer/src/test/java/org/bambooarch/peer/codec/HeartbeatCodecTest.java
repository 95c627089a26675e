package org.bambooarch.peer.codec;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeartbeatCodecTest {

  private static final InstanceIdentity SENDER =
      new InstanceIdentity("entry-1", 7, "north", "north-a", "10.0.0.1:80", "10.0.0.1:7600");

  // Incident bluemahoe-codes: other instances named one that had lost its paths to all servers.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void should_decode_what_was_encoded_when_the_sender_is_partitioned_from_servers_or_not(
      boolean partitioned) throws Exception {
    Heartbeat heartbeat =
        new Heartbeat(
            SENDER,
            true,
            partitioned,
            12,
            Map.of(5, 2.25),
            Map.of(5, 3),
            Map.of(9, 1),
            List.of(new Heartbeat.ServerCrash(4, 9)));

    assertThat(HeartbeatCodec.decode(HeartbeatCodec.encode(heartbeat))).isEqualTo(heartbeat);
  }
}
