package org.bambooarch.inventory;

import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.internal.read.CanonicalReader;
import org.bambooarch.inventory.internal.write.CanonicalWriter;

/**
 * The canonical JSON text of an inventory, as it is stored and spread.
 *
 * <p>Reading checks the shape of the text but not its meaning: meaning is checked once, before a
 * change is accepted, so that no instance ever rejects an accepted configuration.
 *
 * <pre>{@code
 * Inventory same = InventoryJson.read(InventoryJson.write(inventory));
 * }</pre>
 */
public final class InventoryJson {

  private InventoryJson() {}

  /** Returns the canonical text; equal inventories have equal texts. */
  public static String write(Inventory inventory) {
    return CanonicalWriter.write(inventory);
  }

  /**
   * Reads the canonical text.
   *
   * @throws InvalidInventoryException with every finding about the shape of the text
   */
  public static Inventory read(String json) throws InvalidInventoryException {
    return CanonicalReader.read(json);
  }
}
