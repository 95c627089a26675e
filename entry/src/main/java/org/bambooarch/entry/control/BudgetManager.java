package org.bambooarch.entry.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.FleetBudgets;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareEpochStore;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;
import org.bambooarch.store.TableService;
import org.bambooarch.store.budget.TableShareEpochStore;

/** Runs the fleet-wide budgets of customers on the control thread. */
final class BudgetManager {

  private final FleetBudgets budgets;
  private long appliedVersion;

  BudgetManager(
      String instance,
      TableService tables,
      PeerSender peers,
      Clock clock,
      RandomGenerator random,
      Executor control) {
    ShareEpochStore store =
        new TableShareEpochStore(
            tables,
            Thread::startVirtualThread,
            answer -> control.execute(() -> onStoreAnswer(answer)));
    this.budgets =
        FleetBudgets.starting(
            new MemberId(instance, clock.wallMillis()),
            BudgetSettings.defaults(),
            clock,
            random,
            peers,
            store);
  }

  /** Returns the budgets, for traffic threads. */
  FleetBudgets budgets() {
    return budgets;
  }

  /** Takes in the customers' limits of the configuration in force. */
  void update(long newVersion, Inventory inventory) {
    if (newVersion == appliedVersion) {
      return;
    }
    appliedVersion = newVersion;
    List<BudgetResource> resources = new ArrayList<>();
    for (Customer customer : inventory.customers()) {
      resources.add(BudgetResource.ofCustomer(customer));
    }
    budgets.configure(resources);
  }

  void receive(BudgetMessage message) {
    budgets.onMessage(message);
  }

  void tick() {
    budgets.tick();
  }

  /** Starts to give all shares away, for a planned stop. */
  void leave() {
    budgets.leave();
  }

  private void onStoreAnswer(ShareEpochStore.Answer answer) {
    budgets.onStoreAnswer(answer);
  }
}
