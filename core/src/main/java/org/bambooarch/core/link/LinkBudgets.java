package org.bambooarch.core.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.time.Clock;

/**
 * The byte budgets of this instance, one for each direction of each link. The list is immutable;
 * the budgets in it are safe for use from many threads.
 *
 * <pre>{@code
 * LinkBudgets budgets = LinkBudgets.equalShares(inventory, 10, clock);
 * budgets = budgets.reconfigured(changedInventory, 10);
 * }</pre>
 */
public final class LinkBudgets {

  private final List<LinkBudget> budgets;
  private final Clock clock;

  private LinkBudgets(List<LinkBudget> budgets, Clock clock) {
    this.budgets = List.copyOf(budgets);
    this.clock = clock;
  }

  /**
   * Returns budgets with which each instance holds the same share of every link's cap.
   *
   * @param instances number of instances that share the links; a value below 1 counts as 1
   */
  public static LinkBudgets equalShares(Inventory inventory, int instances, Clock clock) {
    return new LinkBudgets(List.of(), clock).reconfigured(inventory, instances);
  }

  /**
   * Returns the budgets for a changed inventory. Links that remain keep their budget object, whose
   * share is changed; called by the control thread only.
   */
  public LinkBudgets reconfigured(Inventory inventory, int instances) {
    List<LinkBudget> next = new ArrayList<>(inventory.links().size());
    for (Link link : inventory.links()) {
      next.add(budgetFor(link, link.capBytesPerSecond() / Math.max(1, instances)));
    }
    return new LinkBudgets(next, clock);
  }

  /** Returns all budgets, in the order of the inventory's links. */
  public List<LinkBudget> all() {
    return budgets;
  }

  /** Returns the budget of one direction of a link, or empty if no such link is declared. */
  public Optional<LinkBudget> find(String fromRegion, String toRegion) {
    for (LinkBudget budget : budgets) {
      if (budget.fromRegion().equals(fromRegion) && budget.toRegion().equals(toRegion)) {
        return Optional.of(budget);
      }
    }
    return Optional.empty();
  }

  private LinkBudget budgetFor(Link link, long shareBytesPerSecond) {
    Optional<LinkBudget> existing = find(link.fromRegion(), link.toRegion());
    if (existing.isPresent()) {
      existing.get().setShareBytesPerSecond(shareBytesPerSecond);
      return existing.get();
    }
    return new LinkBudget(link.fromRegion(), link.toRegion(), shareBytesPerSecond, clock);
  }
}
