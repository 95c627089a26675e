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

/** Cost of a choice and of a tick, by number of servers. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class TargetChooserBenchmark {

  /** Servers of all services together. */
  @Param({"36", "360", "3600"})
  public int servers;

  private final SplittableRandom random = new SplittableRandom(1);
  private LinkBudgets links;
  private TargetChooser chooser;

  /** Builds the chooser. */
  @Setup
  public void setUp() {
    Inventory inventory = BenchmarkInventories.inventory(servers, 8);
    Clock clock = SystemClock.systemClock();
    links = LinkBudgets.equalShares(inventory, 10, clock);
    chooser = TargetChooser.create(TargetTable.from(inventory, "r0-a"), links, clock);
  }

  /** Chooses a server and ends the request. */
  @Benchmark
  public Choice chooseAndAnswer() {
    Choice choice = chooser.choose(0, TargetChooser.NONE_EXCLUDED, random);
    if (choice instanceof ChosenServer chosen) {
      chooser.onAnswered(chosen, 20_000_000L);
    }
    return choice;
  }

  /** Builds the state of a chooser; its allocation is an upper bound of the state's size. */
  @Benchmark
  public TargetChooser build() {
    return chooser.reconfigured(chooser.table(), links);
  }

  /** Runs all systems over the tables once. */
  @Benchmark
  public void tick() {
    chooser.tick();
  }
}
