package org.bambooarch.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class CarriedRequestIdsTest {

  private final CarriedRequestIds ids = new CarriedRequestIds();

  @Test
  void should_contain_nothing_when_no_request_was_carried() {
    assertThat(ids.contains("r1")).isFalse();
    assertThat(ids.contains("")).isFalse();
    assertThat(ids.isFull()).isFalse();
  }

  @Test
  void should_contain_the_missing_id_when_a_request_without_an_id_was_carried() {
    ids.add("");

    assertThat(ids.contains("")).isTrue();
    assertThat(ids.contains("r1")).isFalse();
  }

  // Guards against an id that is forgotten when the table grows or is full.
  @Test
  void should_contain_every_id_when_it_is_full() {
    for (int i = 0; i < CarriedRequestIds.MAX_IDS; i++) {
      assertThat(ids.isFull()).isFalse();
      assertThat(ids.contains("r" + i)).isFalse();
      ids.add("r" + i);
    }

    assertThat(ids.isFull()).isTrue();
    for (int i = 0; i < CarriedRequestIds.MAX_IDS; i++) {
      assertThat(ids.contains("r" + i)).isTrue();
    }
  }

  @Test
  void should_count_an_id_once_when_it_is_added_again() {
    for (int i = 0; i <= CarriedRequestIds.MAX_IDS; i++) {
      ids.add("r1");
    }

    assertThat(ids.isFull()).isFalse();
  }

  // Guards against a full table that drops an id without a sign.
  @Test
  void should_reject_an_id_when_it_is_full() {
    for (int i = 0; i < CarriedRequestIds.MAX_IDS; i++) {
      ids.add("r" + i);
    }

    assertThatThrownBy(() -> ids.add("one more")).isInstanceOf(IllegalStateException.class);
  }
}
