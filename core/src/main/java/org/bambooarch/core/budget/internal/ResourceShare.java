package org.bambooarch.core.budget.internal;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.ShareAmount;

/**
 * This instance's share of one resource.
 *
 * <p>Traffic threads only turn full units into empty ones. Everything else is done by the control
 * thread, so empty units that it has seen cannot vanish under it.
 */
public final class ResourceShare {

  private static final double NANOS_PER_SECOND = 1e9;

  private final String name;
  private final AtomicLong fullUnits = new AtomicLong();
  private final LongAdder attempts = new LongAdder();
  private final AtomicLong waitingUnits = new AtomicLong();
  private final DemandMeter demand = new DemandMeter();
  private volatile long unitsPerQuantum;
  private volatile long obtainableUnits;
  private volatile double quantaPerSecond;
  private long burstQuanta;
  private long rateUnits;
  private long capacityUnits;
  private long refilledAtNanos;
  private long sampledEmptyUnits;
  private long refillableUnits;
  private long wantedUnits;

  ResourceShare(String name, long nowNanos) {
    this.name = name;
    this.refilledAtNanos = nowNanos;
  }

  /** Returns the name of the resource. */
  public String name() {
    return name;
  }

  /** Returns the units that one quantum costs, or zero while no limits are known. */
  public long unitsPerQuantum() {
    return unitsPerQuantum;
  }

  /** Returns the sustained rate of the whole resource. */
  public double quantaPerSecond() {
    return quantaPerSecond;
  }

  /** Returns the burst of the whole resource. */
  long burstQuanta() {
    return burstQuanta;
  }

  /** Returns the units that waiting requests need. */
  long waitingUnits() {
    return waitingUnits.get();
  }

  /** Returns the quanta per second asked of this instance. */
  public double demandQuantaPerSecond() {
    return demand.quantaPerSecond();
  }

  /** Returns the units that waiting requests lacked at the last tick. */
  public long wantedUnits() {
    return wantedUnits;
  }

  void setLimits(BudgetResource limits) {
    quantaPerSecond = limits.quantaPerSecond();
    burstQuanta = limits.burstQuanta();
    unitsPerQuantum = (ShareAmount.WHOLE + burstQuanta - 1) / burstQuanta;
  }

  /** Counts a first attempt; repeated attempts of a waiting request are not counted. */
  public void countAttempt(long quanta) {
    attempts.add(quanta);
  }

  /** Takes the cost of some quanta, or nothing; safe on any thread, allocates nothing. */
  public boolean tryTake(long quanta) {
    long cost = unitsPerQuantum * quanta;
    if (cost <= 0) {
      return false;
    }
    long full = fullUnits.get();
    while (full >= cost) {
      if (fullUnits.compareAndSet(full, full - cost)) {
        return true;
      }
      full = fullUnits.get();
    }
    return false;
  }

  /** Lets a request wait if peers hold enough for all that wait; safe on any thread. */
  public boolean startWait(long quanta) {
    long cost = unitsPerQuantum * quanta;
    if (waitingUnits.addAndGet(cost) <= obtainableUnits) {
      return true;
    }
    waitingUnits.addAndGet(-cost);
    return false;
  }

  /** Returns whether peers still hold something for a request that waits already. */
  public boolean mayKeepWaiting() {
    return obtainableUnits > 0;
  }

  /** Ends the wait of a request, whatever came of it; safe on any thread. */
  public void endWait(long quanta) {
    waitingUnits.addAndGet(-unitsPerQuantum * quanta);
  }

  void setObtainableUnits(long units) {
    obtainableUnits = units;
  }

  /** Notes what is empty now; the time of the next refill must be read after this. */
  void sampleEmpty() {
    sampledEmptyUnits = capacityUnits - fullUnits.get();
  }

  /** Refills up to the given time and lets the sampled units take part from then on. */
  void refillAndAdvance(long nowNanos) {
    long refilled = refill(nowNanos);
    refillableUnits = Math.max(0, sampledEmptyUnits - refilled);
  }

  /**
   * Refills by the rate share, always rounded down.
   *
   * <p>Only units that were empty during the whole time take part: units that an admission emptied
   * a moment ago must not profit from the time before, such as a pause of this process.
   */
  long refill(long nowNanos) {
    double seconds = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
    refilledAtNanos = nowNanos;
    double gain =
        (double) rateUnits * quantaPerSecond * seconds * unitsPerQuantum / ShareAmount.WHOLE;
    long refilled = Math.max(0, Math.min(refillableUnits, (long) gain - 1));
    fullUnits.addAndGet(refilled);
    refillableUnits -= refilled;
    return refilled;
  }

  void measureDemand(double elapsedSeconds) {
    wantedUnits = Math.max(0, waitingUnits.get() - fullUnits.get());
    demand.record(attempts.sumThenReset(), elapsedSeconds);
  }

  /** Returns what this instance holds now. */
  public ShareAmount held() {
    long full = fullUnits.get();
    return new ShareAmount(rateUnits, full, capacityUnits - full);
  }

  void add(ShareAmount amount) {
    rateUnits += amount.rateUnits();
    capacityUnits += amount.capacityUnits();
    refillableUnits += amount.emptyUnits();
    fullUnits.addAndGet(amount.fullUnits());
  }

  /** Removes as much of the wanted amount as is held and returns what was removed. */
  ShareAmount remove(ShareAmount wanted) {
    long rate = Math.min(wanted.rateUnits(), rateUnits);
    long full = removeFull(wanted.fullUnits());
    long empty = Math.min(wanted.emptyUnits(), capacityUnits - full - fullUnits.get());
    rateUnits -= rate;
    capacityUnits -= full + empty;
    refillableUnits = Math.max(0, refillableUnits - empty);
    return new ShareAmount(rate, full, empty);
  }

  private long removeFull(long wanted) {
    long full = fullUnits.get();
    while (true) {
      long taken = Math.min(wanted, full);
      if (fullUnits.compareAndSet(full, full - taken)) {
        return taken;
      }
      full = fullUnits.get();
    }
  }

  void clear() {
    fullUnits.set(0);
    rateUnits = 0;
    capacityUnits = 0;
    refillableUnits = 0;
  }
}
