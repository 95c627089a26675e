package org.bambooarch.store.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.inventory.InventoryJson;

/** Converts one change of the configuration to JSON and back. */
public final class ChangeJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ChangeJson() {}

  /** Returns the change as JSON. */
  public static String write(ConfigChange change) {
    ObjectNode node = MAPPER.createObjectNode();
    switch (change) {
      case ConfigChange.ReplaceInventory replace ->
          node.put("kind", "replace-inventory")
              .put("inventory", InventoryJson.write(replace.inventory()));
      case ConfigChange.IssueKey issue ->
          node.put("kind", "issue-key")
              .put("digest", issue.digest())
              .put("customer", issue.customer());
      case ConfigChange.WithdrawKey withdraw ->
          node.put("kind", "withdraw-key").put("digest", withdraw.digest());
      case ConfigChange.SetDrain set ->
          node.put("kind", "set-drain")
              .put("place", set.rule().kind().name())
              .put("name", set.rule().name())
              .put("drained", set.drained());
    }
    return node.toString();
  }

  /**
   * Reads a change from JSON.
   *
   * @throws InvalidInventoryException if the text is not JSON, its {@code kind} is unknown or its
   *     inventory is invalid
   * @throws IllegalArgumentException if the place of a {@code set-drain} is not a known kind
   */
  public static ConfigChange read(String json) throws InvalidInventoryException {
    try {
      JsonNode node = MAPPER.readTree(json);
      return switch (node.path("kind").asText()) {
        case "replace-inventory" ->
            new ConfigChange.ReplaceInventory(InventoryJson.read(node.path("inventory").asText()));
        case "issue-key" ->
            new ConfigChange.IssueKey(node.path("digest").asText(), node.path("customer").asText());
        case "withdraw-key" -> new ConfigChange.WithdrawKey(node.path("digest").asText());
        case "set-drain" ->
            new ConfigChange.SetDrain(
                new DrainRule(
                    DrainRule.Kind.valueOf(node.path("place").asText()),
                    node.path("name").asText()),
                node.path("drained").asBoolean());
        default ->
            throw new InvalidInventoryException(
                "unknown kind of configuration change at /kind: " + node.path("kind"), null);
      };
    } catch (JsonProcessingException e) {
      throw new InvalidInventoryException(e.getMessage(), e);
    }
  }
}
