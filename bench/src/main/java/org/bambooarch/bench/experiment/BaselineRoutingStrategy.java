package org.bambooarch.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.routing.TargetReport;
import org.bambooarch.core.routing.TargetTable;
import org.bambooarch.core.time.Clock;

/**
 * Well-known simple routing algorithms, as baselines. All of them skip servers that are drained or
 * unhealthy, and servers whose last report is more than 3 s plus the report lag old. They queue no
 * requests and do not pace answers.
 */
final class BaselineRoutingStrategy implements RoutingStrategy {

  /** The algorithm that chooses among the usable servers. */
  enum Kind {
    /** All servers in turn, in every region. */
    ROUND_ROBIN,
    /** The server, in any region, with the fewest requests of this instance in flight. */
    LEAST_OUTSTANDING,
    /** The server of the local region with the fewest requests of this instance in flight. */
    NEAREST_ONLY,
    /**
     * An equal share of each server's slots for each instance; the local region first, then all
     * others.
     */
    STATIC_SHARES
  }

  private static final int NO_SERVER = -1;
  private static final long REPORT_MAX_AGE_NANOS = 3_000_000_000L;

  private final Kind kind;
  private final String dataCentre;
  private final int instances;
  private final long reportLagNanos;
  private final Clock clock;
  private final Random random;
  private final int[] outstanding;
  private final long[] reportedNanos;
  private final boolean[] healthy;
  private final int[] nextTurn;
  private final Map<String, Integer> serverIndexByName = new HashMap<>();
  private TargetTable table;
  private Inventory inventory;

  BaselineRoutingStrategy(
      Kind kind,
      Deployment deployment,
      Inventory inventory,
      String dataCentre,
      long reportLagNanos,
      Clock clock,
      Random random) {
    this.kind = kind;
    this.dataCentre = dataCentre;
    this.instances = deployment.instances();
    this.reportLagNanos = reportLagNanos;
    this.clock = clock;
    this.random = random;
    int servers = inventory.servers().size();
    this.outstanding = new int[servers];
    this.reportedNanos = new long[servers];
    this.healthy = new boolean[servers];
    this.nextTurn = new int[deployment.services().size()];
    for (int server = 0; server < servers; server++) {
      serverIndexByName.put(inventory.servers().get(server).name(), server);
      healthy[server] = true;
      reportedNanos[server] = clock.monotonicNanos();
    }
    reconfigure(inventory);
  }

  @Override
  public Decision selectServer(Request request) {
    int server = choose(request);
    if (server == NO_SERVER) {
      return Decision.REFUSE;
    }
    outstanding[server]++;
    request.server = server;
    return Decision.SEND;
  }

  @Override
  public void onAttemptEnded(Request request, AttemptOutcome outcome, long latencyNanos) {
    outstanding[request.server]--;
  }

  @Override
  public void onReport(TargetReport report) {
    int server = serverIndexByName.get(report.server());
    healthy[server] = report.healthy();
    reportedNanos[server] = clock.monotonicNanos();
  }

  @Override
  public void reconfigure(Inventory changed) {
    inventory = changed;
    table = TargetTable.from(changed, dataCentre);
  }

  @Override
  public void tick() {}

  @Override
  public void dispatchWaiting() {}

  @Override
  public List<Request> takeReady() {
    return List.of();
  }

  @Override
  public List<Request> takeExpired() {
    return List.of();
  }

  @Override
  public LinkBudget answerLinkBudget(Request request) {
    return null;
  }

  private int choose(Request request) {
    List<Integer> usable = usable(request);
    if (usable.isEmpty()) {
      return NO_SERVER;
    }
    return switch (kind) {
      case ROUND_ROBIN -> usable.get(nextTurn[request.service]++ % usable.size());
      case LEAST_OUTSTANDING, NEAREST_ONLY -> fewestOutstanding(usable);
      case STATIC_SHARES -> fewestOutstanding(withFreeStaticShare(usable));
    };
  }

  private List<Integer> usable(Request request) {
    List<Integer> usable = new ArrayList<>();
    for (int server = 0; server < outstanding.length; server++) {
      var row = table.servers().get(server);
      boolean isLocal = table.regionOf(row).equals(table.localRegion());
      boolean isOfService = row.service().equals(table.service(request.service).name());
      if (isOfService && isUp(server) && (isLocal || kind != Kind.NEAREST_ONLY)) {
        usable.add(server);
      }
    }
    for (int excluded : request.excludedServers) {
      usable.remove(Integer.valueOf(excluded));
    }
    return usable;
  }

  private boolean isUp(int server) {
    long age = clock.monotonicNanos() - reportedNanos[server];
    boolean isDrained =
        inventory.drains().stream()
            .anyMatch(rule -> rule.name().equals(table.regionOf(table.servers().get(server))));
    return healthy[server] && !isDrained && age < REPORT_MAX_AGE_NANOS + reportLagNanos;
  }

  /**
   * Returns the servers on which this instance has a free slot of its fixed share, which is at
   * least one slot: those of the local region, or those of all other regions if there are none.
   */
  private List<Integer> withFreeStaticShare(List<Integer> usable) {
    List<Integer> local = new ArrayList<>();
    List<Integer> other = new ArrayList<>();
    for (int server : usable) {
      int share = Math.max(1, table.servers().get(server).slots() / instances);
      if (outstanding[server] < share) {
        boolean isLocal = table.regionOf(table.servers().get(server)).equals(table.localRegion());
        (isLocal ? local : other).add(server);
      }
    }
    return local.isEmpty() ? other : local;
  }

  private int fewestOutstanding(List<Integer> servers) {
    int best = NO_SERVER;
    int start = servers.isEmpty() ? 0 : random.nextInt(servers.size());
    for (int step = 0; step < servers.size(); step++) {
      int server = servers.get((start + step) % servers.size());
      if (best == NO_SERVER || outstanding[server] < outstanding[best]) {
        best = server;
      }
    }
    return best;
  }
}
