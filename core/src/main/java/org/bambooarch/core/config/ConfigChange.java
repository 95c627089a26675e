package org.bambooarch.core.config;

import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;

/** A committed change of the configuration; each change increments the version by one. */
public sealed interface ConfigChange {

  /** Replaces the whole inventory. */
  record ReplaceInventory(Inventory inventory) implements ConfigChange {}

  /**
   * Issues a key to a customer; no effect if the key was issued before, even if withdrawn since.
   *
   * @param digest SHA-256 of the key in lower-case hexadecimal
   * @param customer name of the customer
   */
  record IssueKey(String digest, String customer) implements ConfigChange {}

  /**
   * Withdraws a key for good; no effect if the key was never issued.
   *
   * @param digest SHA-256 of the key in lower-case hexadecimal
   */
  record WithdrawKey(String digest) implements ConfigChange {}

  /**
   * Starts or ends draining what the rule names: a place, a server or an instance.
   *
   * @param rule what to drain
   * @param drained whether draining starts; false ends it
   */
  record SetDrain(DrainRule rule, boolean drained) implements ConfigChange {}
}
