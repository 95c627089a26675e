package org.bambooarch.inventory;

import java.nio.file.Path;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.internal.check.InventoryChecks;
import org.bambooarch.inventory.internal.read.DirectoryReader;
import org.bambooarch.inventory.internal.read.InventoryDraft;

/**
 * Reads an inventory from a directory that operators keep in version control.
 *
 * <p>The directory contains {@code places.json}, {@code services.json}, {@code servers.json},
 * {@code customers.json}, {@code client-blocks.json} and {@code rules.json}, and no other JSON
 * file.
 *
 * <pre>{@code
 * Inventory inventory = InventoryDirectory.read(Path.of("examples/swatchnet"));
 * }</pre>
 */
public final class InventoryDirectory {

  private InventoryDirectory() {}

  /**
   * Reads and validates all files of a directory. A file with errors does not stop the others from
   * being read and checked.
   *
   * @throws InvalidInventoryException with all findings of all files, if there is at least one
   */
  public static Inventory read(Path directory) throws InvalidInventoryException {
    Findings findings = Findings.empty();
    InventoryDraft draft = DirectoryReader.read(directory, findings);
    InventoryChecks.runAll(draft, findings);
    findings.throwIfAny();
    return draft.toInventory();
  }
}
