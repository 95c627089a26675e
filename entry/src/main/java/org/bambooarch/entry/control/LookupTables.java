package org.bambooarch.entry.control;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bambooarch.core.block.AddressBlock;
import org.bambooarch.core.block.AddressBlockException;
import org.bambooarch.core.block.BlockDelta;
import org.bambooarch.core.block.ClientBlocks;
import org.bambooarch.core.block.PlacedBlock;
import org.bambooarch.core.inventory.ClientBlock;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.InstanceCandidate;
import org.bambooarch.core.routing.LookupPolicy;
import org.bambooarch.core.routing.LookupResult;
import org.bambooarch.core.routing.LookupSettings;
import org.bambooarch.core.time.Clock;
import org.bambooarch.store.InstanceRecord;
import org.tinylog.Logger;

/**
 * What look-ups need of one inventory: the places of client blocks and the order of instances.
 *
 * <p>The control thread updates and ticks; traffic threads call {@link #lookUp}.
 */
public final class LookupTables {

  private final Inventory inventory;
  private final String localDataCentre;
  private final ClientBlocks blocks;
  private final LookupPolicy policy;

  private LookupTables(
      Inventory inventory, String localDataCentre, ClientBlocks blocks, LookupPolicy policy) {
    this.inventory = inventory;
    this.localDataCentre = localDataCentre;
    this.blocks = blocks;
    this.policy = policy;
  }

  static LookupTables create(
      Inventory inventory,
      String localDataCentre,
      LinkBudgets links,
      LookupSettings settings,
      Clock clock) {
    LookupPolicy policy = LookupPolicy.create(inventory, links, settings, clock);
    return new LookupTables(inventory, localDataCentre, toClientBlocks(inventory), policy);
  }

  /** Returns the instances that a client should use; an unknown client counts as a local one. */
  public LookupResult lookUp(InetAddress client) {
    String place = blocks.placeOf(client).orElse(localDataCentre);
    return policy.answer(place, client.hashCode());
  }

  void update(List<InstanceRecord> instances) {
    Set<DrainRule> drains = new HashSet<>(inventory.drains());
    List<InstanceCandidate> candidates = new ArrayList<>();
    for (InstanceRecord instance : instances) {
      boolean available = !instance.leaving() && !isDrained(instance, drains);
      candidates.add(
          new InstanceCandidate(
              instance.name(),
              instance.dataCentre(),
              instance.host(),
              instance.callersPort(),
              available,
              0));
    }
    policy.update(candidates);
  }

  void tick() {
    policy.tick();
  }

  private boolean isDrained(InstanceRecord instance, Set<DrainRule> drains) {
    if (drains.contains(new DrainRule(DrainRule.Kind.INSTANCE, instance.name()))
        || drains.contains(new DrainRule(DrainRule.Kind.DATA_CENTRE, instance.dataCentre()))) {
      return true;
    }
    for (DataCentre dataCentre : inventory.dataCentres()) {
      if (dataCentre.name().equals(instance.dataCentre())) {
        return drains.contains(new DrainRule(DrainRule.Kind.REGION, dataCentre.region()));
      }
    }
    return false;
  }

  private static ClientBlocks toClientBlocks(Inventory inventory) {
    List<PlacedBlock> placed = new ArrayList<>();
    for (ClientBlock block : inventory.clientBlocks()) {
      try {
        placed.add(new PlacedBlock(AddressBlock.parse(block.cidr()), block.dataCentre()));
      } catch (AddressBlockException e) {
        // One unreadable block must not take the other blocks out of use.
        Logger.error("event=client-block-unreadable reason=\"{}\"", e.getMessage());
      }
    }
    return ClientBlocks.empty().apply(new BlockDelta(placed, List.of()));
  }
}
