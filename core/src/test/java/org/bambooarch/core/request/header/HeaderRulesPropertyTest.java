package org.bambooarch.core.request.header;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class HeaderRulesPropertyTest {

  private static final String KEY = "s3cret-of-the-caller";

  @Property(tries = 2_000, seed = "42")
  void should_pass_no_key_and_no_hop_by_hop_header_when_filtering_for_the_target(
      @ForAll("headerLists") List<HeaderField> received) {
    // given
    boolean hasSingleKey = HeaderRules.findKey(received).key().filter(KEY::equals).isPresent();
    List<String> connectionOptions =
        received.stream()
            .filter(field -> field.name().strip().equalsIgnoreCase("connection"))
            .flatMap(field -> List.of(field.value().split(",")).stream())
            .map(name -> name.strip().toLowerCase(Locale.ROOT))
            .toList();
    // when
    List<HeaderField> passed = HeaderRules.requestHeadersForTarget(received);
    // then
    assertThat(passed).noneMatch(field -> field.name().matches("(?i)x-api-key|authorization"));
    assertThat(passed)
        .noneMatch(field -> field.name().matches("(?i)te|trailer|upgrade|x-customer"));
    assertThat(passed).noneMatch(field -> connectionOptions.contains(field.name()));
    if (hasSingleKey) {
      assertThat(passed).noneMatch(field -> field.value().contains(KEY));
    }
  }

  @Property(tries = 1_000, seed = "43")
  void should_report_an_ambiguous_key_when_a_request_carries_two_different_keys(
      @ForAll("headerLists") List<HeaderField> received) {
    // given
    List<HeaderField> twoKeys = new ArrayList<>(received);
    twoKeys.add(new HeaderField("X-Api-Key", "one key"));
    twoKeys.add(new HeaderField("x-aPI-key ", "another key"));
    // then
    assertThat(HeaderRules.findKey(twoKeys)).isInstanceOf(KeyHeader.Ambiguous.class);
  }

  @Provide
  Arbitrary<List<HeaderField>> headerLists() {
    Arbitrary<String> names =
        Arbitraries.oneOf(
            Arbitraries.of(
                "x-api-key",
                "X-API-Key",
                " Authorization",
                "connection",
                "CONNECTION",
                "TE",
                "Trailer",
                "Upgrade",
                "X-Customer",
                "x-note",
                "accept",
                "cookie"),
            Arbitraries.strings().ofMaxLength(12));
    Arbitrary<String> values =
        Arbitraries.oneOf(
            Arbitraries.of(
                KEY, "Bearer " + KEY, "bearer  " + KEY, "note " + KEY, "x-note, close", "close"),
            Arbitraries.strings().ofMaxLength(20));
    return Combinators.combine(names, values).as(HeaderField::new).list().ofMaxSize(12);
  }
}
