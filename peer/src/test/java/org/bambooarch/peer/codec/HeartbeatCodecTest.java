package org.bambooarch.peer.codec;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.junit.jupiter.api.Test;
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
            1_800,
            partitioned,
            12,
            new ListVersions(2, new ListStatus(40, -3, 5_000), new ListStatus(55, 7, 5_100)),
            Map.of(5, 2.25),
            Map.of(5, 3),
            Map.of(9, 1),
            Map.of(9, 9.7),
            List.of(new Heartbeat.ServerCrash(4, 9)));

    assertThat(HeartbeatCodec.decode(HeartbeatCodec.encode(heartbeat))).isEqualTo(heartbeat);
  }

  // Instances of the first builds were not heard by newer ones while they had customers.
  @Test
  void should_decode_a_heartbeat_of_a_build_that_reports_no_admitted_requests() throws Exception {
    // The fields of commit ae532e5, which has no column of admitted requests.
    byte[] bytes =
        HexFormat.of()
            .parseHex(
                "0a07656e7472792d311107000000000000001a056e6f72746822076e6f7274682d612a0b3130"
                    + "2e302e302e313a3830320d31302e302e302e313a373630303801400c4a04050000005202e1"
                    + "015a04090000006201016a080400000000000000720409000000");

    Heartbeat decoded = HeartbeatCodec.decode(bytes);
    assertThat(decoded.sender()).isEqualTo(SENDER);
    assertThat(decoded.customerDemand()).containsExactly(Map.entry(5, 2.25));
    assertThat(decoded.customerAdmitted()).isEmpty();
    assertThat(decoded.listVersions()).isEqualTo(ListVersions.NONE);
    assertThat(decoded.inFlight()).containsExactly(Map.entry(9, 1));
  }

  @Test
  void should_decode_a_heartbeat_of_a_build_that_reports_no_limits() throws Exception {
    // Encoded by commit 18674ce.
    byte[] bytes =
        HexFormat.of()
            .parseHex(
                "0a07656e7472792d311107000000000000001a056e6f72746822076e6f7274682d612a0b3130"
                    + "2e302e302e313a3830320d31302e302e302e313a373630303801400c4a04050000005202e1"
                    + "015a04090000006201016a0804000000000000007204090000007a0103");

    assertThat(HeartbeatCodec.decode(bytes))
        .isEqualTo(
            new Heartbeat(
                SENDER,
                true,
                0,
                false,
                12,
                ListVersions.NONE,
                Map.of(5, 2.25),
                Map.of(5, 3),
                Map.of(9, 1),
                Map.of(),
                List.of(new Heartbeat.ServerCrash(4, 9))));
  }
}
