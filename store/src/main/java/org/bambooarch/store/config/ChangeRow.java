package org.bambooarch.store.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.Row;

/**
 * The row of one change of the configuration, with the change and its author.
 *
 * @param version version of the configuration after the change
 * @param changeId identifier that the operator's command gave the change
 * @param author name of the operator who made the change
 * @param text whole value of the row, a JSON object
 */
record ChangeRow(long version, String changeId, String author, String text) {

  private static final String PREFIX = "change/";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns the key of a version's row, padded to 12 digits so that keys sort by version. */
  static String key(long version) {
    return PREFIX + String.format("%012d", version);
  }

  /** Returns the prefix of the keys of all change rows. */
  static String keyPrefix() {
    return PREFIX;
  }

  /** Returns the row of a change that would lead to the given version. */
  static ChangeRow of(long version, String changeId, String author, ConfigChange change) {
    try {
      ObjectNode node = (ObjectNode) MAPPER.readTree(ChangeJson.write(change));
      node.put("changeId", changeId).put("author", author);
      return new ChangeRow(version, changeId, author, node.toString());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "cannot write a configuration change as JSON, which must always be possible", e);
    }
  }

  /**
   * Reads a row of the table.
   *
   * @throws InvalidInventoryException if its key has no version or its value is not JSON
   */
  static ChangeRow parse(Row row) throws InvalidInventoryException {
    try {
      JsonNode node = MAPPER.readTree(row.value());
      return new ChangeRow(
          Long.parseLong(row.key().substring(PREFIX.length())),
          node.path("changeId").asText(),
          node.path("author").asText(),
          row.value());
    } catch (JsonProcessingException | NumberFormatException e) {
      throw new InvalidInventoryException(
          "row " + row.table() + "/" + row.key() + ": " + e.getMessage(), e);
    }
  }

  LoggedChange toLoggedChange() {
    return new LoggedChange(version, text);
  }

  ConfigRepository.Head toHead() {
    return new ConfigRepository.Head(version, changeId, author);
  }
}
