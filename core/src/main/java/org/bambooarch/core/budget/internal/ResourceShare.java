package org.bambooarch.core.budget.internal;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.ShareAmount;

/**
 * This instance's share of one resource.
 *
 * <p>The threads that serve requests only turn full units into empty ones, and count attempts and
 * waiting requests. All other changes are made by the control thread, so that empty units which it
 * has seen stay empty until it changes them itself.
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

  /** Returns the name of the resource, which is unique over all kinds of resources. */
  public String name() {
    return name;
  }

  /** Returns the full units that admit one quantum, or zero while no limits are known. */
  public long unitsPerQuantum() {
    return unitsPerQuantum;
  }

  /** Returns the rate of the whole resource, over all instances. */
  public double quantaPerSecond() {
    return quantaPerSecond;
  }

  /** Returns the burst of the whole resource, over all instances. */
  long burstQuanta() {
    return burstQuanta;
  }

  /** Returns the full units that all waiting requests need together. */
  long waitingUnits() {
    return waitingUnits.get();
  }

  /** Returns the demand at this instance, in quanta per second. */
  public double demandQuantaPerSecond() {
    return demand.quantaPerSecond();
  }

  /** Returns the full units that waiting requests lacked at the last tick. */
  public long wantedUnits() {
    return wantedUnits;
  }

  void setLimits(BudgetResource limits) {
    quantaPerSecond = limits.quantaPerSecond();
    burstQuanta = limits.burstQuanta();
    unitsPerQuantum = (ShareAmount.WHOLE + burstQuanta - 1) / burstQuanta;
  }

  /**
   * Counts the first attempt of a request as demand; further attempts of a waiting request must not
   * be counted. Safe on any thread.
   */
  public void countAttempt(long quanta) {
    attempts.add(quanta);
  }

  /** Takes the full units of some quanta, or none; safe on any thread, allocates nothing. */
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

  /**
   * Lets a request wait if the obtainable units suffice for all that wait, itself included; safe on
   * any thread.
   */
  public boolean startWait(long quanta) {
    long cost = unitsPerQuantum * quanta;
    if (waitingUnits.addAndGet(cost) <= obtainableUnits) {
      return true;
    }
    waitingUnits.addAndGet(-cost);
    return false;
  }

  /** Returns whether a request that already waits can still expect units; safe on any thread. */
  public boolean mayKeepWaiting() {
    return obtainableUnits > 0;
  }

  /** Ends the wait of a request, admitted or not; safe on any thread. */
  public void endWait(long quanta) {
    waitingUnits.addAndGet(-unitsPerQuantum * quanta);
  }

  /** Sets the full units that waiting requests can expect from peers and from the refill. */
  void setObtainableUnits(long units) {
    obtainableUnits = units;
  }

  /** Samples the empty units; the time of the next refill must be read after this. */
  void sampleEmpty() {
    sampledEmptyUnits = capacityUnits - fullUnits.get();
  }

  /** Refills up to the given time; from then on the units of the last sample are refillable. */
  void refillAndAdvance(long nowNanos) {
    long refilled = refill(nowNanos);
    refillableUnits = Math.max(0, sampledEmptyUnits - refilled);
  }

  /**
   * Refills by the rate share, always rounded down.
   *
   * <p>Only units that were empty during the whole time since the last refill are refilled: units
   * that an admission emptied a moment ago must not gain from the time before, such as a pause of
   * this process.
   *
   * @return units that were refilled
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

  /** Updates the demand and the wanted units, once per tick. */
  void measureDemand(double elapsedSeconds) {
    wantedUnits = Math.max(0, waitingUnits.get() - fullUnits.get());
    demand.record(attempts.sumThenReset(), elapsedSeconds);
  }

  /** Returns the amount that this instance holds now; control thread only. */
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

  /** Removes the wanted amount, or as much of each part as is held, and returns what it removed. */
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
