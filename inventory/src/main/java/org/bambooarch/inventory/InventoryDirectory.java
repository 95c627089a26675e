package org.bambooarch.inventory;

import java.nio.file.Path;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.internal.check.InventoryChecks;
import org.bambooarch.inventory.internal.read.DirectoryReader;
import org.bambooarch.inventory.internal.read.InventoryDraft;

/**
 * Reads an inventory from a directory kept in version control.
 *
 * <p>The directory holds {@code places.json}, {@code services.json}, {@code servers.json}, {@code
 * customers.json}, {@code client-blocks.json} and {@code rules.json}.
 *
 * <pre>{@code
 * Inventory inventory = InventoryDirectory.read(Path.of("examples/swatchnet"));
 * }</pre>
 */
public final class InventoryDirectory {

  private InventoryDirectory() {}

  /**
   * Reads and validates all files of a directory.
   *
   * @throws InvalidInventoryException with every finding of all files
   */
  public static Inventory read(Path directory) throws InvalidInventoryException {
    Findings findings = Findings.empty();
    InventoryDraft draft = DirectoryReader.read(directory, findings);
    InventoryChecks.runAll(draft, findings);
    findings.throwIfAny();
    return draft.toInventory();
  }
}
