package org.bambooarch.inventory.internal.check;

import java.util.List;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.internal.read.InventoryDraft;

/** Runs all validation rules that an inventory must meet before it is accepted. */
public final class InventoryChecks {

  private static final List<Check> ALL =
      List.of(
          new NameCheck(),
          new ReferenceCheck(),
          new LinkCheck(),
          new RouteCheck(),
          new ServerCheck(),
          new ClientBlockCheck());

  private InventoryChecks() {}

  /** Runs every check, also after an earlier one has added findings. */
  public static void runAll(InventoryDraft draft, Findings findings) {
    for (Check check : ALL) {
      check.run(draft, findings);
    }
  }
}
