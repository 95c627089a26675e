package org.bambooarch.core.steering.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Decides which fraction of a service's requests is sent to other regions, and to which of them.
 *
 * <p>The fraction follows in small steps how much higher this region's load is than that of the
 * other regions, because servers there are not warm for the objects that move there, and the links
 * between regions have little bandwidth. Requests that only this region may serve find capacity
 * only if the others leave before its servers are full. The fraction jumps only when this region's
 * capacity drops by more than a fifth between two steps. Objects are moved in the fixed order of
 * their hashes, so that a step moves few of them.
 *
 * <p>Not thread-safe.
 */
final class RegionSpillover {

  /** Load per slot in this region up to which no more requests are sent to other regions. */
  static final double MODERATE_LOAD = 0.5;

  /** Load per slot in this region below which requests return from other regions. */
  static final double LOW_LOAD = 0.3;

  /** Difference between the loads per slot of regions that is not worth moving objects. */
  static final double LOAD_TOLERANCE = 0.1;

  /**
   * Largest change of the fraction in one step. Four steps, the number within 2 s, and the requests
   * of {@link OverflowBudget} together stay below the fraction of a region's requests that may
   * change their region in that time.
   */
  static final double MAX_STEP = 0.015;

  /** Weight of the newest loads in their moving averages. */
  private static final double LOAD_SAMPLE_WEIGHT = 0.3;

  /** Time between two steps, in nanoseconds: 0.5 s. */
  static final long ADJUST_INTERVAL_NANOS = 500_000_000L;

  private static final class Split {
    private double fraction;
    private double localCapacity;
    private double localLoad;
    private double remoteLoad;
    private final Map<String, Double> remoteSpareCapacity = new TreeMap<>();
  }

  private final String region;
  private final Map<String, Split> splitByService = new HashMap<>();

  RegionSpillover(String region) {
    this.region = region;
  }

  /** Returns the fraction of a service's requests that is sent to other regions, from 0 to 1. */
  double fraction(String service) {
    Split split = splitByService.get(service);
    return split == null ? 0 : split.fraction;
  }

  /**
   * Returns the region for a request: this one, or another one that had servers of the service at
   * the last step, chosen in proportion to its spare capacity.
   */
  String regionFor(String service, long objectHash) {
    Split split = splitByService.get(service);
    double point = Hashes.toUnitInterval(objectHash);
    if (split == null || point >= split.fraction || split.remoteSpareCapacity.isEmpty()) {
      return region;
    }
    double total =
        split.remoteSpareCapacity.values().stream().mapToDouble(Double::doubleValue).sum();
    double remaining = point / split.fraction * total;
    String last = region;
    for (Map.Entry<String, Double> remote : split.remoteSpareCapacity.entrySet()) {
      last = remote.getKey();
      remaining -= remote.getValue();
      if (remaining < 0) {
        break;
      }
    }
    return last;
  }

  /** Adjusts the fraction by one step to the load that the servers have now. */
  void adjust(String service, List<ServerState> available, long nowNanos) {
    Map<String, double[]> slotsAndLoad = new TreeMap<>();
    for (ServerState server : available) {
      if (server.isAvoided(nowNanos) && server.ownInFlight() == 0) {
        continue;
      }
      double[] sums = slotsAndLoad.computeIfAbsent(server.region(), r -> new double[2]);
      sums[0] += server.isCold(nowNanos) ? 0.5 * server.entry().slots() : server.entry().slots();
      sums[1] += server.load(nowNanos);
    }
    double[] local = slotsAndLoad.remove(region);
    Split split = splitByService.get(service);
    if (split == null) {
      split = new Split();
      split.fraction = initialFraction(local, slotsAndLoad);
      splitByService.put(service, split);
    } else {
      followLocalCapacity(split, local);
      followLoad(split, local, slotsAndLoad);
    }
    split.localCapacity = local == null ? 0 : local[0];
    followRemoteCapacity(split, slotsAndLoad);
  }

  /**
   * Returns the fraction to start with: what this region's slots fall short of an equal part of all
   * slots, as if all regions had the same demand.
   */
  private static double initialFraction(double[] local, Map<String, double[]> remote) {
    if (local == null) {
      return 1;
    }
    double total = local[0] + remote.values().stream().mapToDouble(sums -> sums[0]).sum();
    double evenCapacity = total / (remote.size() + 1);
    return Math.max(0, 1 - local[0] / evenCapacity);
  }

  private static void followLocalCapacity(Split split, double[] local) {
    if (local == null || local[0] == 0) {
      split.fraction = 1;
      return;
    }
    if (local[0] < 0.8 * split.localCapacity) {
      split.fraction = 1 - (1 - split.fraction) * local[0] / split.localCapacity;
    }
  }

  private static void followLoad(Split split, double[] local, Map<String, double[]> remote) {
    double remoteSlots = remote.values().stream().mapToDouble(sums -> sums[0]).sum();
    if (local == null || local[0] == 0 || remoteSlots == 0) {
      return;
    }
    double remoteRequests = remote.values().stream().mapToDouble(sums -> sums[1]).sum();
    split.localLoad += LOAD_SAMPLE_WEIGHT * (local[1] / local[0] - split.localLoad);
    split.remoteLoad += LOAD_SAMPLE_WEIGHT * (remoteRequests / remoteSlots - split.remoteLoad);
    double difference = split.localLoad - split.remoteLoad;
    if (split.localLoad > MODERATE_LOAD && difference > LOAD_TOLERANCE) {
      split.fraction = Math.min(1, split.fraction + MAX_STEP);
    } else if (split.localLoad < LOW_LOAD || difference < -LOAD_TOLERANCE) {
      split.fraction = Math.max(0, split.fraction - MAX_STEP);
    }
  }

  private static void followRemoteCapacity(Split split, Map<String, double[]> remote) {
    split.remoteSpareCapacity.keySet().retainAll(remote.keySet());
    remote.forEach(
        (name, sums) -> {
          double spare = Math.max(0.05 * sums[0], sums[0] - sums[1]);
          split.remoteSpareCapacity.merge(name, spare, (old, now) -> old + 0.05 * (now - old));
        });
  }
}
