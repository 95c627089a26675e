package org.bambooarch.bench.experiment;

import java.util.Random;

/** A server of an experiment: slots, a cache that warms with use, and faults. */
final class FakeTarget {

  private static final double COLD_CACHE_FACTOR = 3;
  private static final int REQUESTS_TO_WARM = 200;
  private static final double SLOW_SERVER_FACTOR = 8;

  final int slots;
  final int region;
  int running;
  boolean dead;
  boolean slow;
  boolean failing;
  int generation;
  private int servedSinceStart = REQUESTS_TO_WARM;

  FakeTarget(int slots, int region) {
    this.slots = slots;
    this.region = region;
  }

  /** Kills the server; what ran is lost. */
  void kill() {
    dead = true;
    running = 0;
    generation++;
  }

  /** Starts the server again with a cold cache. */
  void restart() {
    dead = false;
    servedSinceStart = 0;
  }

  /** Returns how long the next request holds a slot. */
  long serviceNanos(int route, Random random) {
    double factor = slow ? SLOW_SERVER_FACTOR : 1;
    if (servedSinceStart < REQUESTS_TO_WARM) {
      factor *= COLD_CACHE_FACTOR - (COLD_CACHE_FACTOR - 1) * servedSinceStart / REQUESTS_TO_WARM;
      servedSinceStart++;
    }
    double randomFactor = 0.5 + random.nextExponential() / 2;
    return (long) (RequestMix.serviceNanos(route) * factor * randomFactor);
  }
}
