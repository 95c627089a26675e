package org.bambooarch.core.block;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AddressBlockTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "10.0.0.0",
        "host/8",
        "10.0.0.0/33",
        "10.0.0.0/-1",
        "10.0.0.1/8",
        "10.0.0/8",
        "::/65",
        "2001:db8::1/32",
        "::1/64",
        "/8",
        "10.0.0.0/",
        "1.2.3.4.5/8"
      })
  void should_refuse_and_quote_the_text_when_it_is_not_an_address_block(String text) {
    assertThatThrownBy(() -> AddressBlock.parse(text))
        .isInstanceOf(AddressBlockException.class)
        .hasMessageContaining("\"" + text + "\"");
  }
}
