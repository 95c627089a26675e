package org.bambooarch.core.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.time.Clock;

/**
 * The byte budgets of this instance, one for each direction of each link.
 *
 * <pre>{@code
 * LinkBudgets budgets = LinkBudgets.equalShares(inventory, 10, clock);
 * budgets = budgets.reconfigured(changedInventory, 10);
 * }</pre>
 */
public final class LinkBudgets {

  private final List<LinkBudget> rows;
  private final Clock clock;

  private LinkBudgets(List<LinkBudget> rows, Clock clock) {
    this.rows = List.copyOf(rows);
    this.clock = clock;
  }

  /**
   * Returns budgets in which each of the instances holds the same part of every cap.
   *
   * @param instances number of instances that share the links, at least 1
   */
  public static LinkBudgets equalShares(Inventory inventory, int instances, Clock clock) {
    return new LinkBudgets(List.of(), clock).reconfigured(inventory, instances);
  }

  /** Returns the budgets for a changed inventory; links that stay keep their state. */
  public LinkBudgets reconfigured(Inventory inventory, int instances) {
    List<LinkBudget> next = new ArrayList<>(inventory.links().size());
    for (Link link : inventory.links()) {
      next.add(rowFor(link, link.capBytesPerSecond() / Math.max(1, instances)));
    }
    return new LinkBudgets(next, clock);
  }

  /** Returns all budgets in the order of the inventory's links. */
  public List<LinkBudget> rows() {
    return rows;
  }

  /** Returns the budget of one direction, or empty if no such link is declared. */
  public Optional<LinkBudget> find(String fromRegion, String toRegion) {
    for (LinkBudget row : rows) {
      if (row.fromRegion().equals(fromRegion) && row.toRegion().equals(toRegion)) {
        return Optional.of(row);
      }
    }
    return Optional.empty();
  }

  private LinkBudget rowFor(Link link, long shareBytesPerSecond) {
    Optional<LinkBudget> kept = find(link.fromRegion(), link.toRegion());
    if (kept.isPresent()) {
      kept.get().setShareBytesPerSecond(shareBytesPerSecond);
      return kept.get();
    }
    return new LinkBudget(link.fromRegion(), link.toRegion(), shareBytesPerSecond, clock);
  }
}
