package org.bambooarch.inventory.internal.read;

import static org.bambooarch.inventory.error.JsonErrors.malformedJson;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;

/** Parses JSON text and rejects repeated fields and trailing text. */
final class StrictJson {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private StrictJson() {}

  /** Returns a reader of the root object; reports text that cannot be parsed and returns empty. */
  static Optional<FieldReader> parse(String json, Location location, Findings findings) {
    try {
      JsonNode node = MAPPER.readTree(json);
      return Optional.of(FieldReader.of(node, location, findings));
    } catch (JsonProcessingException e) {
      JsonLocation errorLocation = e.getLocation() == null ? JsonLocation.NA : e.getLocation();
      findings.add(
          malformedJson(
              location,
              errorLocation.getLineNr(),
              errorLocation.getColumnNr(),
              e.getOriginalMessage()));
      return Optional.empty();
    }
  }
}
