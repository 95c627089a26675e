package org.bambooarch.inventory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.bambooarch.core.inventory.Inventory;

/** Writes an inventory as one JSON document and reads it back. */
public final class InventoryJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES).build();

  private InventoryJson() {}

  /** Returns the inventory as JSON. */
  public static String write(Inventory inventory) {
    try {
      return MAPPER.writeValueAsString(inventory);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("records of the inventory are always writable", e);
    }
  }

  /** Reads an inventory from JSON. */
  public static Inventory read(String json) throws InvalidInventoryException {
    try {
      return MAPPER.readValue(json, Inventory.class);
    } catch (JsonProcessingException e) {
      throw new InvalidInventoryException(e.getMessage(), e);
    }
  }
}
