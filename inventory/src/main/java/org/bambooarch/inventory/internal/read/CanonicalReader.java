package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.inventory.Location;

/** Reads the canonical text, which has the fields of all inventory files in one JSON object. */
public final class CanonicalReader {

  private static final String SOURCE = "inventory";

  private CanonicalReader() {}

  /**
   * Parses the text and checks its syntax, fields and values, but not names or references.
   *
   * @throws InvalidInventoryException with all findings, if there is at least one
   */
  public static Inventory read(String json) throws InvalidInventoryException {
    Findings findings = Findings.empty();
    InventoryDraft draft = new InventoryDraft();
    StrictJson.parse(json, Location.root(SOURCE), findings)
        .ifPresent(root -> readAll(root, draft, findings));
    findings.throwIfAny();
    return draft.toInventory();
  }

  private static void readAll(FieldReader root, InventoryDraft draft, Findings findings) {
    PlacesReader.read(root, draft, findings);
    ServicesReader.read(root, draft);
    ServersReader.read(root, draft);
    CustomersReader.read(root, draft);
    ClientBlocksReader.read(root, draft);
    RulesReader.read(root, draft);
    root.reportUnknownFields();
  }
}
