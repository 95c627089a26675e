package org.bambooarch.bench.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.ControlSettings;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.entry.control.ControlLoop;
import org.bambooarch.peer.PeerStatus;
import org.bambooarch.standin.PlatformFaults;
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatformClient;

/**
 * Measures the time from the moment when the store has accepted a configuration change until the
 * change is in force at all instances.
 *
 * <p>The control loops of all instances run in this process and communicate over loopback sockets.
 * Run it with {@code bin/bench config-spread INSTANCES CHANGES STORE_DELAY_MILLIS}; the stand-in
 * platform delays its answers by the last argument.
 */
public final class ConfigPropagationBenchmark {

  private static final String HOST = "127.0.0.1";
  private static final String[] REGIONS = {"kochi", "tvm", "kozhikode"};
  private static final long POLL_INTERVAL_NANOS = 1_000_000L;
  private static final long PAUSE_BEFORE_CHANGE_NANOS = 100_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;

  private ConfigPropagationBenchmark() {}

  /**
   * Waits until all instances are connected to each other, then runs the measurement and prints
   * percentiles of the times in milliseconds and the bytes that each instance sent to its peers per
   * second.
   */
  public static void main(String[] args) throws Exception {
    int instances = Integer.parseInt(args[0]);
    int changes = Integer.parseInt(args[1]);
    long delayMillis = Long.parseLong(args[2]);
    try (StandinPlatform standin = StandinPlatform.startOn(HOST, 0, 0, SystemClock.systemClock())) {
      HttpPlatformClient platform =
          HttpPlatformClient.create(
              "http://" + HOST + ":" + standin.port(), Duration.ofSeconds(10));
      ConfigRepository repository = new ConfigRepository(platform);
      repository.propose(0, "c0", "bench", new ConfigChange.ReplaceInventory(inventory()));
      List<ControlLoop> loops = start(platform, instances);
      standin.injectFaults(new PlatformFaults(false, delayMillis, false));
      measure(repository, loops, changes, delayMillis);
      loops.forEach(ControlLoop::close);
    }
  }

  private static Inventory inventory() {
    List<Region> regions = new ArrayList<>();
    List<DataCentre> dataCentres = new ArrayList<>();
    for (String region : REGIONS) {
      regions.add(new Region(region));
      dataCentres.add(new DataCentre(region + "-a", region));
      dataCentres.add(new DataCentre(region + "-b", region));
    }
    return new Inventory(
        regions, dataCentres, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  }

  private static List<ControlLoop> start(HttpPlatformClient platform, int instances)
      throws Exception {
    List<ControlLoop> loops = new ArrayList<>();
    for (int index = 0; index < instances; index++) {
      String dataCentre = REGIONS[index % 3] + (index / 3 % 2 == 0 ? "-a" : "-b");
      String name = "entry-" + index;
      ControlSettings control =
          new ControlSettings(List.of("the secret of this bench fleet"), "kochi", List.of());
      EntrySettings settings =
          new EntrySettings(name, dataCentre, HOST, 0, 0, 0, "http://unused", 10_000, control);
      ControlLoop loop =
          ControlLoop.create(
              settings,
              platform,
              KeyCheck.acceptingNothing(SystemClock.systemClock()),
              SystemClock.systemClock());
      loop.start();
      platform.announce(new InstanceRecord(name, dataCentre, HOST, 1, loop.peersPort(), 0, false));
      loops.add(loop);
    }
    for (ControlLoop loop : loops) {
      while (loop.peerStatuses().stream().filter(PeerStatus::connected).count() < instances - 1) {
        LockSupport.parkNanos(POLL_INTERVAL_NANOS);
      }
    }
    return loops;
  }

  private static void measure(
      ConfigRepository repository, List<ControlLoop> loops, int changes, long delayMillis)
      throws Exception {
    Histogram millis = new Histogram(3);
    long sentBefore = sentBytes(loops);
    long startedNanos = System.nanoTime();
    for (int change = 1; change <= changes; change++) {
      LockSupport.parkNanos(PAUSE_BEFORE_CHANGE_NANOS);
      repository.propose(
          change, "c" + change, "bench", new ConfigChange.IssueKey("d" + change, "kerala"));
      long acceptedNanos = System.nanoTime();
      awaitVersion(loops, change + 1L);
      millis.recordValue((System.nanoTime() - acceptedNanos) / 1_000_000L);
    }
    double seconds = (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
    long sent = sentBytes(loops) - sentBefore;
    System.out.printf(
        "instances=%d changes=%d storeDelayMillis=%d p50Millis=%d p99Millis=%d maxMillis=%d"
            + " changesPerSecond=%.2f sentBytesPerSecondPerInstance=%.0f%n",
        loops.size(),
        changes,
        delayMillis,
        millis.getValueAtPercentile(50),
        millis.getValueAtPercentile(99),
        millis.getMaxValue(),
        changes / seconds,
        sent / seconds / loops.size());
  }

  private static void awaitVersion(List<ControlLoop> loops, long version) {
    for (ControlLoop loop : loops) {
      while (loop.view().config().version() < version) {
        LockSupport.parkNanos(POLL_INTERVAL_NANOS);
      }
    }
  }

  private static long sentBytes(List<ControlLoop> loops) {
    long sum = 0;
    for (ControlLoop loop : loops) {
      sum += loop.peerStatuses().stream().mapToLong(PeerStatus::sentBytes).sum();
    }
    return sum;
  }
}
