package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.inventory.Location;

/** Reads the canonical text: the fields of all files in one object. */
public final class CanonicalReader {

  private static final String SOURCE = "inventory";

  private CanonicalReader() {}

  /** Reads the text and checks its shape only. */
  public static Inventory read(String json) throws InvalidInventoryException {
    Findings findings = Findings.empty();
    InventoryDraft draft = new InventoryDraft();
    JsonText.parse(json, Location.root(SOURCE), findings)
        .ifPresent(file -> readAll(file, draft, findings));
    findings.throwIfAny();
    return draft.toInventory();
  }

  private static void readAll(FieldReader file, InventoryDraft draft, Findings findings) {
    PlacesReader.read(file, draft, findings);
    ServicesReader.read(file, draft);
    ServersReader.read(file, draft);
    CustomersReader.read(file, draft);
    ClientBlocksReader.read(file, draft);
    RulesReader.read(file, draft);
    file.finish();
  }
}
