package org.bambooarch.entry.operators;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.List;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.entry.ControlSettings;
import org.bambooarch.entry.EntrySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperatorsServerTest {

  private static final String DIGEST = "0123456789abcdef";
  private static final String SECRET = "the secret of this test fleet";

  private volatile Readiness readiness = new Readiness.Ready();
  private OperatorsServer server;

  @BeforeEach
  void startServer() {
    ConfigState config =
        ConfigState.initial().apply(new ConfigChange.IssueKey(DIGEST, "vypin-cut-and-stitch"));
    EntryMetrics metrics =
        new EntryMetrics().addGauge("bambooarch_test_value", "A value.", () -> 7);
    EntrySettings settings =
        new EntrySettings(
            "entry-1",
            "kochi-a",
            "127.0.0.1",
            0,
            0,
            0,
            "http://127.0.0.1:1",
            1,
            new ControlSettings(List.of(SECRET), "kochi", List.of()));
    StateDump dump =
        new StateDump()
            .add("settings", () -> StateSections.settings(settings))
            .add("configuration", () -> StateSections.configuration(config));
    server = OperatorsServer.create("127.0.0.1", 0, () -> readiness, dump, metrics);
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.close();
  }

  @Test
  void should_return_503_with_the_reason_when_the_instance_is_not_ready() {
    assertThat(get("/ready").status().code()).isEqualTo(200);
    readiness = new Readiness.NotReady("the instance is stopping");
    assertThat(get("/ready").status().code()).isEqualTo(503);
    assertThat(get("/ready").contentUtf8()).contains("the instance is stopping");
    assertThat(get("/health").status().code()).isEqualTo(200);
  }

  @Test
  void should_omit_key_digests_and_peer_secrets_when_the_state_is_dumped() {
    assertThat(get("/dump").contentUtf8())
        .contains("\"vypin-cut-and-stitch\" : 1", "\"peerSecrets\" : 1")
        .doesNotContain(DIGEST, SECRET);
  }

  @Test
  void should_include_registered_gauges_when_metrics_are_read() {
    assertThat(get("/metrics").contentUtf8()).contains("bambooarch_test_value 7.0");
  }

  private AggregatedHttpResponse get(String path) {
    return WebClient.of("http://127.0.0.1:" + server.port()).get(path).aggregate().join();
  }
}
