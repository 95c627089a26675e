package org.bambooarch.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.Random;

/** When each fault of the servers is on: one seeded interval for each, which overlap. */
final class FaultSchedule {

  private record Interval(double start, double end) {}

  private final Map<Fault, Interval> intervals = new EnumMap<>(Fault.class);
  private final double scale;

  /**
   * Draws the intervals.
   *
   * @param scale factor for all shares; 0 turns the faults off
   */
  FaultSchedule(long seed, double scale) {
    Random random = new Random(seed);
    this.scale = scale;
    for (Fault fault : Fault.values()) {
      double start = 0.05 + 0.35 * random.nextDouble();
      intervals.put(fault, new Interval(start, start + 0.35 + 0.25 * random.nextDouble()));
    }
  }

  /**
   * Draws the fault of one answer.
   *
   * @param progress elapsed share of the run, between 0 and 1
   */
  Fault draw(double progress, Random random) {
    double rest = random.nextDouble();
    for (Map.Entry<Fault, Interval> entry : intervals.entrySet()) {
      Interval interval = entry.getValue();
      if (progress < interval.start() || progress > interval.end()) {
        continue;
      }
      rest -= entry.getKey().share() * scale;
      if (rest < 0) {
        return entry.getKey();
      }
    }
    return Fault.NONE;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    intervals.forEach(
        (fault, interval) -> {
          if (fault != Fault.NONE) {
            text.append(
                " %s=%.3f@%.2f-%.2f"
                    .formatted(fault, fault.share() * scale, interval.start(), interval.end()));
          }
        });
    return text.toString().strip();
  }
}
