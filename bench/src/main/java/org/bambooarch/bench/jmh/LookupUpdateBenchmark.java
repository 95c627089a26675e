package org.bambooarch.bench.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.InstanceCandidate;
import org.bambooarch.core.routing.LookupPolicy;
import org.bambooarch.core.routing.LookupSettings;
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

/**
 * Time to apply a changed list of instances to a look-up policy, for 24 regions with 2 or 3 data
 * centres each.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class LookupUpdateBenchmark {

  private static final int REGIONS = 24;
  private static final int DATA_CENTRES = 54;

  /** Number of instances in the list. */
  @Param({"10", "220", "2200"})
  public int instances;

  private final List<InstanceCandidate> candidates = new ArrayList<>();
  private LookupPolicy lookups;

  /**
   * Creates the policy and the list; the instances are distributed over the data centres in turn.
   */
  @Setup
  public void setUp() {
    List<Region> regions = new ArrayList<>();
    List<Link> links = new ArrayList<>();
    for (int region = 0; region < REGIONS; region++) {
      regions.add(new Region("r" + region));
      for (int other = 0; other < REGIONS; other++) {
        if (other != region) {
          links.add(new Link("r" + region, "r" + other, 500_000_000L, 1_000L * (region + other)));
        }
      }
    }
    List<DataCentre> dataCentres = new ArrayList<>();
    for (int dataCentre = 0; dataCentre < DATA_CENTRES; dataCentre++) {
      dataCentres.add(new DataCentre("d" + dataCentre, "r" + dataCentre % REGIONS));
    }
    Inventory inventory =
        new Inventory(
            regions, dataCentres, links, List.of(), List.of(), List.of(), List.of(), List.of());
    Clock clock = SystemClock.systemClock();
    LinkBudgets budgets = LinkBudgets.equalShares(inventory, instances, clock);
    lookups = LookupPolicy.create(inventory, budgets, LookupSettings.defaults(), clock);
    for (int index = 0; index < instances; index++) {
      String dataCentre = "d" + index % DATA_CENTRES;
      candidates.add(new InstanceCandidate("i" + index, dataCentre, "127.0.0.1", 8_000, true, 0.1));
    }
  }

  /** Applies the list, which computes and publishes the orders in which callers get instances. */
  @Benchmark
  public void update() {
    lookups.update(candidates);
  }
}
