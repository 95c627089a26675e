package org.bambooarch.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.core.key.KeyDigest;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.EntryInstance;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatformClient;

/**
 * An entry instance with a stand-in platform, in this process, that routes requests to given
 * targets. The limits of the customer and of the targets are high enough not to matter.
 */
final class BenchmarkEntryInstance implements AutoCloseable {

  static final String HOST = "127.0.0.1";
  static final String KEY = "bench-key";
  static final String PATH = "/books/17";

  private static final int SLOTS_PER_TARGET = 1_000;
  private static final long TIMEOUT_MILLIS = 60_000;
  private static final long CUSTOMER_RATE_PER_SECOND = 10_000_000;

  private final StandinPlatform platform;
  private final EntryInstance entry;

  private BenchmarkEntryInstance(StandinPlatform platform, EntryInstance entry) {
    this.platform = platform;
    this.entry = entry;
  }

  /**
   * Starts the platform and the instance, and configures one route to the targets.
   *
   * @param targetPorts ports on {@link #HOST} where the targets already listen
   * @param expectedAnswerBytes configured size of an answer of the route
   */
  static BenchmarkEntryInstance startInFrontOf(List<Integer> targetPorts, long expectedAnswerBytes)
      throws Exception {
    StandinPlatform platform = StandinPlatform.startOn(HOST, 0, 0, SystemClock.systemClock());
    String uri = "http://" + HOST + ":" + platform.port();
    ConfigRepository repository =
        new ConfigRepository(HttpPlatformClient.create(uri, Duration.ofMillis(TIMEOUT_MILLIS)));
    Inventory inventory = inventory(targetPorts, expectedAnswerBytes);
    repository.propose(0, "c1", "bench", new ConfigChange.ReplaceInventory(inventory));
    String digest = KeyDigest.of(KEY);
    repository.propose(1, "c2", "bench", new ConfigChange.IssueKey(digest, "bench"));
    EntrySettings settings =
        new EntrySettings("entry-1", "kochi-a", HOST, 0, 0, 0, uri, TIMEOUT_MILLIS);
    return new BenchmarkEntryInstance(platform, EntryInstance.start(settings));
  }

  int port() {
    return entry.callersPort();
  }

  @Override
  public void close() {
    entry.close();
    platform.close();
  }

  private static Inventory inventory(List<Integer> ports, long expectedAnswerBytes) {
    List<Server> servers = new ArrayList<>();
    for (int port : ports) {
      servers.add(
          new Server("s" + port, "catalogue", "kochi-a", HOST, port, SLOTS_PER_TARGET, 1_000));
    }
    Route route =
        new Route(
            "books",
            "GET",
            "/books",
            true,
            PriorityClass.BROWSE,
            expectedAnswerBytes,
            TIMEOUT_MILLIS,
            false);
    return new Inventory(
        List.of(new Region("kochi")),
        List.of(new DataCentre("kochi-a", "kochi")),
        List.of(),
        List.of(new Service("catalogue", List.of(route))),
        servers,
        List.of(new Customer("bench", CUSTOMER_RATE_PER_SECOND, CUSTOMER_RATE_PER_SECOND)),
        List.of(),
        List.of());
  }
}
