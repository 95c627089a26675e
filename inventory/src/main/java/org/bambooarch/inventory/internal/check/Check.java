package org.bambooarch.inventory.internal.check;

import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.internal.read.InventoryDraft;

/** One rule that a whole inventory must meet. */
@FunctionalInterface
interface Check {

  /** Adds what breaks the rule to the findings. */
  void run(InventoryDraft draft, Findings findings);
}
