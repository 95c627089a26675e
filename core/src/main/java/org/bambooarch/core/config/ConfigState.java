package org.bambooarch.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;

/**
 * The configuration at one version: the inventory and all issued keys. Immutable.
 *
 * <pre>{@code
 * ConfigState next = state.apply(new ConfigChange.WithdrawKey(digest));
 * }</pre>
 *
 * @param version number of changes committed so far
 * @param inventory what operators declared: places, services, servers and customers
 * @param keysByDigest issued keys by their digest, withdrawn ones included
 */
public record ConfigState(long version, Inventory inventory, Map<String, IssuedKey> keysByDigest) {

  /** Copies the keys, so that later changes to the map do not show here. */
  public ConfigState {
    keysByDigest = Map.copyOf(keysByDigest);
  }

  /** Returns the state before the first change. */
  public static ConfigState initial() {
    return new ConfigState(0, Inventory.empty(), Map.of());
  }

  /** Returns the state after one more change, with the next version; this state stays unchanged. */
  public ConfigState apply(ConfigChange change) {
    long nextVersion = version + 1;
    return switch (change) {
      case ConfigChange.ReplaceInventory replace ->
          new ConfigState(nextVersion, replace.inventory(), keysByDigest);
      case ConfigChange.IssueKey issue -> withKey(nextVersion, issue.digest(), issue.customer());
      case ConfigChange.WithdrawKey withdraw -> withoutKey(nextVersion, withdraw.digest());
      case ConfigChange.SetDrain set -> withDrain(nextVersion, set.rule(), set.drained());
    };
  }

  private ConfigState withKey(long nextVersion, String digest, String customer) {
    Map<String, IssuedKey> keys = new HashMap<>(keysByDigest);
    keys.putIfAbsent(digest, new IssuedKey(digest, customer, false));
    return new ConfigState(nextVersion, inventory, keys);
  }

  private ConfigState withoutKey(long nextVersion, String digest) {
    Map<String, IssuedKey> keys = new HashMap<>(keysByDigest);
    keys.computeIfPresent(digest, (d, key) -> new IssuedKey(d, key.customer(), true));
    return new ConfigState(nextVersion, inventory, keys);
  }

  private ConfigState withDrain(long nextVersion, DrainRule rule, boolean drained) {
    List<DrainRule> drains = new ArrayList<>(inventory.drains());
    drains.remove(rule);
    if (drained) {
      drains.add(rule);
    }
    Inventory changed =
        new Inventory(
            inventory.regions(),
            inventory.dataCentres(),
            inventory.links(),
            inventory.services(),
            inventory.servers(),
            inventory.customers(),
            inventory.clientBlocks(),
            drains);
    return new ConfigState(nextVersion, changed, keysByDigest);
  }
}
