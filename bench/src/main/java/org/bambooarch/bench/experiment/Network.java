package org.bambooarch.bench.experiment;

import java.util.List;

/** The delays between regions and callers of a deployment, and the traffic of its links. */
final class Network {

  private static final long NANOS_PER_MICRO = 1_000L;
  private static final long SAME_REGION_DELAY_NANOS = 1_000_000L;

  private final Deployment deployment;
  private final LinkMeter[][] meters;

  Network(Deployment deployment, long durationNanos) {
    this.deployment = deployment;
    int regions = deployment.regions().size();
    meters = new LinkMeter[regions][regions];
    for (int from = 0; from < regions; from++) {
      for (int to = 0; to < regions; to++) {
        meters[from][to] = new LinkMeter(durationNanos, deployment.linkBytesPerSecond());
      }
    }
  }

  int regionOf(String dataCentre) {
    List<String> regions = deployment.regions();
    for (int region = 0; region < regions.size(); region++) {
      if (dataCentre.startsWith(regions.get(region))) {
        return region;
      }
    }
    throw new IllegalArgumentException(
        "no region's name is a prefix of the data centre " + dataCentre);
  }

  long delayNanos(int fromRegion, int toRegion) {
    return fromRegion == toRegion
        ? SAME_REGION_DELAY_NANOS
        : deployment.regionDelayMicros() * NANOS_PER_MICRO;
  }

  long callerDelayNanos(int clientRegion, int instanceRegion) {
    long delay = deployment.clientDelayMicros() * NANOS_PER_MICRO;
    return clientRegion == instanceRegion
        ? delay
        : delay + delayNanos(clientRegion, instanceRegion);
  }

  void recordTransfer(int fromRegion, int toRegion, long atNanos, long bytes) {
    if (fromRegion != toRegion) {
      meters[fromRegion][toRegion].add(atNanos, bytes);
    }
  }

  int windowsOverCap() {
    int over = 0;
    for (LinkMeter[] row : meters) {
      for (LinkMeter meter : row) {
        over += meter.windowsOverCap();
      }
    }
    return over;
  }

  double peakUtilization() {
    double max = 0;
    for (LinkMeter[] row : meters) {
      for (LinkMeter meter : row) {
        max = Math.max(max, meter.peakUtilization());
      }
    }
    return max;
  }
}
