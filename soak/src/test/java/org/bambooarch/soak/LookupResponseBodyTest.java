package org.bambooarch.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

class LookupResponseBodyTest {

  @Test
  void should_read_addresses_and_time_to_live_when_both_are_there() throws IOException {
    assertThat(
            LookupResponse.parse(
                "{\"addrs\":[\"10.1.0.8:8206\",\"10.1.0.9:8206\"],\"ttl\":\"2s\"}"))
        .isEqualTo(new LookupResponse(List.of("10.1.0.8:8206", "10.1.0.9:8206"), 2_000));
    assertThat(LookupResponse.parse("{\"ttl\": \"1500ms\", \"addrs\": [\"10.1.0.8:8206\"]}"))
        .isEqualTo(new LookupResponse(List.of("10.1.0.8:8206"), 1_500));
  }

  @Test
  void should_keep_no_answer_longer_than_the_bound_when_it_says_more() throws IOException {
    assertThat(LookupResponse.parse("{\"addrs\":[\"10.1.0.8:8206\"],\"ttl\":\"60s\"}").ttlMillis())
        .isEqualTo(LookupResponse.MAX_TTL_MILLIS);
  }

  @Test
  void should_take_an_answer_for_none_when_addresses_or_time_to_live_are_missing() {
    for (String body :
        List.of("", "{\"addrs\":[],\"ttl\":\"2s\"}", "{\"addrs\":[\"10.1.0.8:8206\"]}", "{}")) {
      assertThatThrownBy(() -> LookupResponse.parse(body)).isInstanceOf(IOException.class);
    }
  }
}
