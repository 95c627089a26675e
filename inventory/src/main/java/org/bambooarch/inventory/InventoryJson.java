package org.bambooarch.inventory;

import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.internal.read.CanonicalReader;
import org.bambooarch.inventory.internal.write.CanonicalWriter;

/**
 * Converts an inventory to and from its canonical JSON text, which is stored and distributed to the
 * instances.
 *
 * <p>Reading checks the syntax, the fields and the types and ranges of their values, but not names
 * or references between entries. These are checked once, before a change is accepted, so that no
 * instance ever rejects an accepted configuration.
 *
 * <pre>{@code
 * Inventory same = InventoryJson.read(InventoryJson.write(inventory));
 * }</pre>
 */
public final class InventoryJson {

  private InventoryJson() {}

  /** Returns the canonical text; equal inventories yield equal texts. */
  public static String write(Inventory inventory) {
    return CanonicalWriter.write(inventory);
  }

  /**
   * Parses the canonical text.
   *
   * @throws InvalidInventoryException with all findings about the syntax, fields and values of the
   *     text
   */
  public static Inventory read(String json) throws InvalidInventoryException {
    return CanonicalReader.read(json);
  }
}
