package org.bambooarch.bench.experiment;

import java.util.Random;

/**
 * A simulated server with a number of slots, and faults. After a restart its cache is cold:
 * requests take up to 3 times as long, and the normal time again after 200 of them.
 */
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

  /**
   * Kills the server. The requests that it was running are lost: they see another generation when
   * their service would end.
   */
  void kill() {
    dead = true;
    running = 0;
    generation++;
  }

  /** Restarts the server with a cold cache. */
  void restart() {
    dead = false;
    servedSinceStart = 0;
  }

  /** Returns for how long the next request holds a slot, in nanoseconds. */
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
