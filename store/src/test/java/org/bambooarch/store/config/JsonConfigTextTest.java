package org.bambooarch.store.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigFormatException;
import org.bambooarch.core.config.ConfigState;
import org.junit.jupiter.api.Test;

class JsonConfigTextTest {

  private final JsonConfigText text = new JsonConfigText();

  @Test
  void should_return_an_equal_state_and_equal_bytes_when_a_snapshot_is_read() throws Exception {
    // given
    ConfigState state =
        ConfigState.initial()
            .apply(new ConfigChange.IssueKey("d2", "kerala"))
            .apply(new ConfigChange.IssueKey("d1", "kerala"))
            .apply(new ConfigChange.WithdrawKey("d2"));
    // when
    String snapshot = text.writeSnapshot(state);
    // then
    assertThat(text.readSnapshot(snapshot)).isEqualTo(state);
    assertThat(text.writeSnapshot(text.readSnapshot(snapshot))).isEqualTo(snapshot);
  }

  @Test
  void should_reject_a_change_when_its_kind_or_place_is_unknown() {
    assertThatThrownBy(() -> text.readChange("{\"kind\":\"newer\"}"))
        .isInstanceOf(ConfigFormatException.class)
        .hasMessageContaining("newer");
    assertThatThrownBy(() -> text.readChange("{\"kind\":\"set-drain\",\"place\":\"MOON\"}"))
        .isInstanceOf(ConfigFormatException.class);
  }
}
