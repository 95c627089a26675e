package org.bambooarch.bench.jmh;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.Choice;
import org.bambooarch.core.routing.ChosenServer;
import org.bambooarch.core.routing.TargetChooser;
import org.bambooarch.core.routing.TargetTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.core.time.SystemClock;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Time of a choice, of a reconfiguration and of a tick, by number of servers. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class TargetChooserBenchmark {

  /** Number of servers of all three services together. */
  @Param({"36", "360", "3600"})
  public int servers;

  private final SplittableRandom random = new SplittableRandom(1);
  private LinkBudgets links;
  private TargetChooser chooser;

  /** Creates the chooser and the link budgets, with equal shares for 10 instances. */
  @Setup
  public void setUp() {
    Inventory inventory = BenchmarkInventories.inventory(servers, 8);
    Clock clock = SystemClock.systemClock();
    links = LinkBudgets.equalShares(inventory, 10, clock);
    chooser = TargetChooser.create(TargetTable.from(inventory, "r0-a"), links, clock);
  }

  /** Chooses a server and reports an answer after 20 ms. */
  @Benchmark
  public Choice chooseAndAnswer() {
    Choice choice = chooser.choose(0, TargetChooser.NONE_EXCLUDED, random);
    if (choice instanceof ChosenServer chosen) {
      chooser.onAnswered(chosen, 20_000_000L);
    }
    return choice;
  }

  /** Creates a chooser for the same table; the bytes allocated are an upper bound of its state. */
  @Benchmark
  public TargetChooser build() {
    return chooser.reconfigured(chooser.table(), links);
  }

  /** Does the periodic work on the control thread once, over all servers. */
  @Benchmark
  public void tick() {
    chooser.tick();
  }
}
