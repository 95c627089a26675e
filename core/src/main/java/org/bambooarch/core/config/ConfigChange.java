package org.bambooarch.core.config;

import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;

/** One accepted change of the configuration; each moves the version forward by one. */
public sealed interface ConfigChange {

  /** Replaces the whole inventory. */
  record ReplaceInventory(Inventory inventory) implements ConfigChange {}

  /** Issues a key to a customer. */
  record IssueKey(String digest, String customer) implements ConfigChange {}

  /** Withdraws a key for good. */
  record WithdrawKey(String digest) implements ConfigChange {}

  /** Starts or ends the drain of a place, a server or an instance. */
  record SetDrain(DrainRule rule, boolean drained) implements ConfigChange {}
}
