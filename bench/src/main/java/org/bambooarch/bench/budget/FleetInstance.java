package org.bambooarch.bench.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bambooarch.core.budget.BudgetDump;
import org.bambooarch.core.budget.BudgetMessage;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.BudgetSettings;
import org.bambooarch.core.budget.FleetBudgets;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareEpochStore;
import org.bambooarch.core.time.Clock;

/**
 * A simulated instance: its budgets, and whether its process is running, paused or dead.
 *
 * <p>Ticks, messages and store answers that come while the process is paused are deferred; those
 * that come after its death are dropped. Each instance has its own offset of the monotonic clock.
 */
final class FleetInstance {

  private final String name;
  private final FleetEventQueue events;
  private final FleetBudgets budgets;
  private final List<Runnable> deferredActions = new ArrayList<>();
  private boolean paused;
  private boolean dead;
  private boolean hasBeenReady;

  FleetInstance(
      MemberId id,
      int region,
      BudgetSettings settings,
      List<BudgetResource> resources,
      FleetEventQueue events,
      FakeNetwork network,
      FakeEpochStore store,
      long seed) {
    this.name = id.name();
    this.events = events;
    SplittableRandom random = new SplittableRandom(seed);
    Clock clock = offsetClock(events, random.nextLong());
    this.budgets =
        FleetBudgets.starting(
            id,
            settings,
            clock,
            random,
            (to, message) -> network.send(name, to, (BudgetMessage) message),
            store.connection(this::onStoreAnswer));
    budgets.configure(resources);
    network.attach(name, region, this::onMessage);
    events.after(random.nextLong(FleetBudgets.TICK_NANOS), this::tick);
  }

  private static Clock offsetClock(FleetEventQueue events, long offsetNanos) {
    return new Clock() {
      @Override
      public long monotonicNanos() {
        return events.nowNanos() + offsetNanos;
      }

      @Override
      public long wallMillis() {
        return events.nowNanos() / 1_000_000;
      }
    };
  }

  private void tick() {
    if (dead) {
      return;
    }
    if (paused) {
      deferredActions.add(this::tick);
      return;
    }
    budgets.tick();
    hasBeenReady = hasBeenReady || budgets.isReady();
    events.after(FleetBudgets.TICK_NANOS, this::tick);
  }

  private void onMessage(BudgetMessage message) {
    runOrDefer(() -> budgets.onMessage(message));
  }

  private void onStoreAnswer(ShareEpochStore.Answer answer) {
    runOrDefer(() -> budgets.onStoreAnswer(answer));
  }

  private void runOrDefer(Runnable action) {
    if (paused) {
      deferredActions.add(action);
    } else if (!dead) {
      action.run();
    }
  }

  void pause() {
    paused = true;
  }

  /**
   * Resumes the process. The deferred actions of its control thread run one tick later, because the
   * threads that serve requests may run before the control thread after a pause.
   */
  void resume() {
    paused = false;
    List<Runnable> deferred = List.copyOf(deferredActions);
    deferredActions.clear();
    events.after(
        FleetBudgets.TICK_NANOS,
        () -> {
          for (Runnable action : deferred) {
            runOrDefer(action);
          }
        });
  }

  void kill() {
    dead = true;
  }

  void leave() {
    budgets.leave();
  }

  /**
   * Returns whether callers are sent to this instance: the process is running and its budgets have
   * been ready at least once.
   */
  boolean acceptsRequests() {
    return hasBeenReady && !paused && !dead;
  }

  boolean isDead() {
    return dead;
  }

  String name() {
    return name;
  }

  FleetBudgets budgets() {
    return budgets;
  }

  BudgetDump dump() {
    return budgets.dump();
  }
}
