package org.bambooarch.bench.jmh;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.admission.AdmissionDecision;
import org.bambooarch.core.admission.AdmissionQueue;
import org.bambooarch.core.admission.AdmissionSettings;
import org.bambooarch.core.admission.DispatchPriority;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.InstanceCandidate;
import org.bambooarch.core.routing.LookupPolicy;
import org.bambooarch.core.routing.LookupResult;
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
 * Measures the time to queue and dispatch a request, to check for waiting requests, to answer a
 * look-up and to acquire bytes from a link budget, by number of customers.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class AdmissionBenchmark {

  private static final long SECOND_NANOS = 1_000_000_000L;

  /** Number of customers in the inventory and the queue. */
  @Param({"8", "80", "800"})
  public int customers;

  private final Clock clock = SystemClock.systemClock();
  private AdmissionQueue<Object> queue;
  private LookupPolicy lookups;
  private LinkBudget link;
  private int nextCustomer;

  /** Creates the queue, a look-up policy with one instance, and a link budget. */
  @Setup
  public void setUp() {
    List<Customer> rows = BenchmarkInventories.customers(customers);
    Inventory inventory = BenchmarkInventories.inventory(36, customers);
    LinkBudgets links = LinkBudgets.equalShares(inventory, 10, clock);
    queue = AdmissionQueue.create(AdmissionSettings.defaults(), rows, clock);
    lookups = LookupPolicy.create(inventory, links, LookupSettings.defaults(), clock);
    lookups.update(List.of(new InstanceCandidate("i1", "r0-a", "127.0.0.1", 8_000, true, 0.1)));
    link = links.all().getFirst();
  }

  /** Queues a request and dispatches it at once; the customers take turns. */
  @Benchmark
  public AdmissionDecision offerAndDispatch() {
    nextCustomer = (nextCustomer + 1) % customers;
    long startByNanos = clock.monotonicNanos() + SECOND_NANOS;
    AdmissionDecision decision =
        queue.offer(this, nextCustomer, DispatchPriority.BROWSE, startByNanos);
    queue.dispatch(waiting -> true);
    return decision;
  }

  /** Checks whether a request must wait behind others; an instance does so for each request. */
  @Benchmark
  public boolean hasWaiting() {
    return queue.hasWaitingAtOrAbove(DispatchPriority.BROWSE);
  }

  /** Answers the look-up of a caller in this instance's data centre. */
  @Benchmark
  public LookupResult lookUp() {
    return lookups.answer("r0-a", nextCustomer++);
  }

  /** Asks a link budget for 16 KiB, as for a part of an answer. */
  @Benchmark
  public long grantBytes() {
    return link.acquireUpTo(16_384, PriorityClass.BROWSE);
  }
}
