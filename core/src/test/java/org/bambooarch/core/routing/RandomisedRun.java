package org.bambooarch.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.time.ManualClock;

/**
 * A seeded random run of one {@link TargetChooser} with failures, sheds and drains, which records
 * each violation of an invariant.
 */
final class RandomisedRun {

  private static final int STEPS = 20_000;
  private static final long DRAIN_MILLIS = 2_000;
  private static final int MAX_EJECTED = 8;
  private static final DrainRule DRAIN = new DrainRule(DrainRule.Kind.REGION, "kochi");

  final List<String> violations = new ArrayList<>();
  int chosenCount;
  private final Random random;
  private final ManualClock clock = ManualClock.startingAtZero();
  private final LinkBudgets links;
  private final List<ChosenServer> running = new ArrayList<>();
  private TargetChooser chooser;
  private boolean draining;
  private long drainStartMillis;
  private double failureShare;

  RandomisedRun(long seed, RoutingSettings settings) {
    random = new Random(seed);
    links = LinkBudgets.equalShares(TestInventories.small(), 10, clock);
    TargetTable table = TargetTable.from(TestInventories.small(), "kochi-a");
    chooser = TargetChooser.create(table, links, settings, clock);
  }

  void run() {
    for (int step = 0; step < STEPS; step++) {
      step(random.nextInt(100));
    }
    while (!running.isEmpty()) {
      endWithRandomOutcome(running.removeLast());
    }
    checkAllReturned();
  }

  private void step(int roll) {
    if (roll < 50) {
      choose();
    } else if (roll < 90 && !running.isEmpty()) {
      endWithRandomOutcome(running.remove(random.nextInt(running.size())));
    } else if (roll < 98) {
      clock.advanceMillis(50);
      chooser.tick();
      checkTables();
    } else if (roll == 98) {
      failureShare = random.nextInt(3) == 0 ? 0.9 : 0.02;
    } else {
      toggleDrain();
    }
  }

  private void choose() {
    int[] excluded = {random.nextInt(12)};
    if (chooser.choose(random.nextInt(3), excluded, random) instanceof ChosenServer chosen) {
      chosenCount++;
      running.add(chosen);
      check(chosen.serverIndex() != excluded[0], "a server was chosen that the request excludes");
      check(!chooser.isEjected(chosen.serverIndex()), "a server was chosen that is ejected");
      boolean drained = draining && chosen.server().dataCentre().startsWith("kochi");
      boolean drainHasEnded = clock.wallMillis() - drainStartMillis >= DRAIN_MILLIS + 50;
      check(!(drained && drainHasEnded), "a server was chosen that finished draining");
    }
  }

  private void endWithRandomOutcome(ChosenServer chosen) {
    double roll = random.nextDouble();
    if (roll < failureShare) {
      chooser.onFailed(chosen);
    } else if (roll < failureShare + 0.05) {
      chooser.onShed(chosen);
    } else if (roll < failureShare + 0.08) {
      chooser.onCancelled(chosen);
    } else {
      chooser.onAnswered(chosen, 20_000_000L);
    }
  }

  private void toggleDrain() {
    draining = !draining;
    drainStartMillis = clock.wallMillis();
    var inventory = draining ? TestInventories.small(DRAIN) : TestInventories.small();
    chooser = chooser.reconfigured(TargetTable.from(inventory, "kochi-a"), links);
  }

  private void checkTables() {
    int ejected = 0;
    for (int server = 0; server < 12; server++) {
      ejected += chooser.isEjected(server) ? 1 : 0;
      check(chooser.inFlight(server) <= 5, "a server has more requests in flight than slots");
      check(chooser.limit(server) <= 5, "a server has a limit above its slots");
    }
    check(ejected <= MAX_EJECTED, "more servers are ejected than the settings allow");
  }

  private void checkAllReturned() {
    for (int server = 0; server < 12; server++) {
      check(chooser.inFlight(server) == 0, "a slot was not returned after the run");
    }
    for (LinkBudget link : links.all()) {
      check(link.reservedBytes() == 0, "a link reservation was not returned after the run");
    }
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(violation);
    }
  }
}
