package org.bambooarch.bench.load;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bambooarch.bench.load.ClosedLoopLoad.LoadResult;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.EntryInstance;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.entry.request.KeyDigests;
import org.bambooarch.platform.config.ConfigRepository;
import org.bambooarch.platform.http.HttpPlatform;
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.standin.StandinTarget;

/**
 * Compares an entry instance with a bare Armeria pass-through of the same targets in one run.
 *
 * <p>Run it with {@code bin/bench pass-through}. The order of the two alternates, and the median of
 * the rounds' ratios is the result.
 */
public final class PassThroughRatio {

  private static final String HOST = "127.0.0.1";
  private static final String KEY = "bench-key";
  private static final int TARGETS = 6;
  private static final int SLOTS_PER_TARGET = 1_000;
  private static final int IN_FLIGHT = 64;
  private static final int WARM_UP_REQUESTS = 60_000;
  private static final int REQUESTS = 60_000;
  private static final int ROUNDS = 7;
  private static final long TIMEOUT_MILLIS = 10_000;

  private PassThroughRatio() {}

  /** Runs the comparison and prints one line for each round and the median ratio. */
  public static void main(String[] args) throws Exception {
    List<StandinTarget> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(StandinTarget.startOn("target-" + i, HOST, 0));
    }
    List<Integer> ports = targets.stream().map(StandinTarget::port).toList();
    try (StandinPlatform platform = StandinPlatform.startOn(HOST, 0, 0, SystemClock.systemClock());
        PassThrough baseline = PassThrough.startOn(HOST, ports);
        EntryInstance entry = startEntry(platform, ports)) {
      compare(baseline.port(), entry.callersPort());
    }
    targets.forEach(StandinTarget::close);
  }

  private static void compare(int baselinePort, int entryPort) throws InterruptedException {
    load(baselinePort, WARM_UP_REQUESTS);
    load(entryPort, WARM_UP_REQUESTS);
    List<Double> ratios = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      boolean baselineFirst = round % 2 == 0;
      LoadResult first = load(baselineFirst ? baselinePort : entryPort, REQUESTS);
      LoadResult second = load(baselineFirst ? entryPort : baselinePort, REQUESTS);
      LoadResult baseline = baselineFirst ? first : second;
      LoadResult entry = baselineFirst ? second : first;
      double ratio = entry.requestsPerSecond() / baseline.requestsPerSecond();
      ratios.add(ratio);
      print(round, baseline, entry, ratio);
    }
    ratios.sort(Double::compare);
    System.out.printf("medianRatio=%.3f target=0.800%n", ratios.get(ROUNDS / 2));
  }

  private static void print(int round, LoadResult baseline, LoadResult entry, double ratio) {
    System.out.printf(
        "round=%d baselinePerSecond=%.0f baselineP50Micros=%d baselineP99Micros=%d"
            + " entryPerSecond=%.0f entryP50Micros=%d entryP99Micros=%d entryFailed=%d"
            + " ratio=%.3f%n",
        round,
        baseline.requestsPerSecond(),
        baseline.p50Micros(),
        baseline.p99Micros(),
        entry.requestsPerSecond(),
        entry.p50Micros(),
        entry.p99Micros(),
        entry.failed(),
        ratio);
  }

  private static LoadResult load(int port, int requests) throws InterruptedException {
    WebClient client = WebClient.of("http://" + HOST + ":" + port);
    RequestHeaders headers =
        RequestHeaders.of(HttpMethod.GET, "/books/17", "authorization", "Bearer " + KEY);
    return new ClosedLoopLoad(client, headers, IN_FLIGHT, requests).run();
  }

  private static EntryInstance startEntry(StandinPlatform platform, List<Integer> ports)
      throws Exception {
    String uri = "http://" + HOST + ":" + platform.port();
    ConfigRepository repository =
        new ConfigRepository(HttpPlatform.at(uri, Duration.ofMillis(TIMEOUT_MILLIS)));
    repository.propose(0, "c1", "bench", new ConfigChange.ReplaceInventory(inventory(ports)));
    String digest = KeyDigests.digestOf(KEY);
    repository.propose(1, "c2", "bench", new ConfigChange.IssueKey(digest, "bench"));
    return EntryInstance.start(
        new EntrySettings("entry-1", "kochi-a", HOST, 0, 0, 0, uri, TIMEOUT_MILLIS));
  }

  private static Inventory inventory(List<Integer> ports) {
    List<Server> servers = new ArrayList<>();
    for (int port : ports) {
      servers.add(
          new Server("s" + port, "catalogue", "kochi-a", HOST, port, SLOTS_PER_TARGET, 1_000));
    }
    Route route =
        new Route("books", "GET", "/books", true, PriorityClass.BROWSE, 200, TIMEOUT_MILLIS, false);
    return new Inventory(
        List.of(new Region("kochi")),
        List.of(new DataCentre("kochi-a", "kochi")),
        List.of(),
        List.of(new Service("catalogue", List.of(route))),
        servers,
        List.of(new Customer("bench", 10_000_000, 10_000_000)),
        List.of(),
        List.of());
  }
}
