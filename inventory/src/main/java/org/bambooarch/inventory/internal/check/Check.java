package org.bambooarch.inventory.internal.check;

import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.internal.read.InventoryDraft;

/** A validation rule that covers a whole inventory. */
@FunctionalInterface
interface Check {

  /** Adds a finding for each violation of the rule. */
  void run(InventoryDraft draft, Findings findings);
}
