package org.bambooarch.core.steering.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Which part of a service's requests leaves this region, and for which regions.
 *
 * <p>The part follows the region's load in small steps, because servers elsewhere are cold for what
 * moves and links are narrow. It jumps only when the region's room does. Objects leave in a fixed
 * order, so that a step moves few of them.
 *
 * <p>Not thread-safe.
 */
final class RegionSpillover {

  /** Load per slot above which requests leave the region, and below which they come back. */
  static final double HIGH_LOAD = 0.85;

  static final double LOW_LOAD = 0.55;

  /** Load per slot of other regions above which nothing more is sent there. */
  static final double REMOTE_HIGH_LOAD = 0.8;

  /** Largest step of one tick: four ticks are within what may change the region in 2 s. */
  static final double MAX_STEP = 0.02;

  /** Time between two steps, in nanoseconds. */
  static final long ADJUST_INTERVAL_NANOS = 500_000_000L;

  private static final class Split {
    private double fraction;
    private double localCapacity;
    private final Map<String, Double> remoteSpareCapacity = new TreeMap<>();
  }

  private final String region;
  private final Map<String, Split> splitByService = new HashMap<>();

  RegionSpillover(String region) {
    this.region = region;
  }

  /** Returns the part of a service's requests that leaves this region. */
  double fraction(String service) {
    Split split = splitByService.get(service);
    return split == null ? 0 : split.fraction;
  }

  /** Returns the region for a request, among regions with servers. */
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

  /** Makes one step towards the load that the servers have now. */
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

  /** Starts from the slots of the regions, as if all had the same demand. */
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
    if (local == null || local[0] == 0) {
      return;
    }
    double load = local[1] / local[0];
    boolean remoteHasRoom =
        remote.values().stream()
            .anyMatch(sums -> sums[0] > 0 && sums[1] / sums[0] < REMOTE_HIGH_LOAD);
    if (load > HIGH_LOAD && remoteHasRoom) {
      split.fraction = Math.min(1, split.fraction + MAX_STEP);
    } else if (load < LOW_LOAD) {
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
