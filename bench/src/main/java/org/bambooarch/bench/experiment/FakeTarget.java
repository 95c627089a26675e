package org.bambooarch.bench.experiment;

import java.util.Random;

/** A server of an experiment: slots, a cache that warms with use, and faults. */
final class FakeTarget {

  private static final double COLD_FACTOR = 3;
  private static final int REQUESTS_TO_WARM = 200;
  private static final double SLOW_FACTOR = 8;

  final int slots;
  final int region;
  int running;
  boolean dead;
  boolean slow;
  boolean failing;
  int generation;
  private int served = REQUESTS_TO_WARM;

  FakeTarget(int slots, int region) {
    this.slots = slots;
    this.region = region;
  }

  /** Kills the server; what ran is lost. */
  void die() {
    dead = true;
    running = 0;
    generation++;
  }

  /** Starts the server again with a cold cache. */
  void restart() {
    dead = false;
    served = 0;
  }

  /** Returns how long the next request holds a slot. */
  long serviceNanos(int route, Random random) {
    double factor = slow ? SLOW_FACTOR : 1;
    if (served < REQUESTS_TO_WARM) {
      factor *= COLD_FACTOR - (COLD_FACTOR - 1) * served / REQUESTS_TO_WARM;
      served++;
    }
    double spread = 0.5 + random.nextExponential() / 2;
    return (long) (Traffic.serviceNanos(route) * factor * spread);
  }
}
