package org.bambooarch.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConfigStateTest {

  @Test
  void should_keep_a_key_withdrawn_when_the_same_digest_is_issued_again() {
    // given
    ConfigState withdrawn =
        ConfigState.initial()
            .apply(new ConfigChange.IssueKey("d1", "kerala"))
            .apply(new ConfigChange.WithdrawKey("d1"));
    // when
    ConfigState issuedAgain = withdrawn.apply(new ConfigChange.IssueKey("d1", "kerala"));
    // then
    assertThat(issuedAgain.version()).isEqualTo(3);
    assertThat(issuedAgain.keysByDigest().get("d1").withdrawn()).isTrue();
  }
}
