package org.bambooarch.core.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.config.WeightedService;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.steering.fleet.RelayChoice;
import org.bambooarch.core.steering.place.LimitShares;
import org.bambooarch.core.steering.place.Placement;
import org.bambooarch.core.steering.place.PlacementQuery;
import org.bambooarch.core.steering.place.ServerChooser;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerOwners;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;
import org.junit.jupiter.api.Test;

/**
 * Random configurations, servers, instances and requests; no server or relay that is chosen may lie
 * outside the homes of the request's route and customer. Other seeds: {@code -Dhomes.seeds=5000}.
 */
// Issue 53 (HOME): guards against requests that run, or whose body goes, outside their homes.
class HomesRandomTest {

  private static final int DEFAULT_SEEDS = 200;
  private static final int STEPS = 400;
  private static final List<String> REGIONS = List.of("north", "south", "west", "east");

  /** The last data centre is in no region that is known here. */
  private static final List<String> DATA_CENTRES =
      List.of("north-a", "north-b", "south-a", "west-a", "east-a", "unknown-a");

  private static final Map<String, String> REGION_BY_DATA_CENTRE =
      Map.of(
          "north-a", "north", "north-b", "north", "south-a", "south", "west-a", "west", "east-a",
          "east");
  private static final List<String> SERVICES = List.of("shop", "stock");
  private static final int NAMES = 4;
  private static final int SERVERS = 12;

  /** How often each kind of choice was made, so that no check is empty. */
  private static final class Counts {
    private int requests;
    private int serversWithHomes;
    private int relaysWithHomes;
    private int withoutCommonRegion;
    private int afterNewerConfiguration;
  }

  /** A request as it was admitted; empty homes of a name mean all regions. */
  private record Admitted(
      long version,
      ServiceRoute route,
      Set<String> routeHomes,
      Optional<CustomerPolicy> customer,
      Set<String> customerHomes,
      Set<String> triedServers) {}

  private static final class Run {
    private final Random random;
    private final Counts counts;
    private final String region;
    private final ServerTable table = new ServerTable(REGION_BY_DATA_CENTRE);
    private final ServerChooser chooser;
    private final Map<String, String> dataCentreByServer = new HashMap<>();
    private final List<ServerState> busy = new ArrayList<>();
    private final List<Admitted> admitted = new ArrayList<>();
    private final Map<String, Set<String>> routeHomes = new HashMap<>();
    private final Map<String, Set<String>> customerHomes = new HashMap<>();
    private final Map<String, ServiceRoute> routes = new HashMap<>();
    private final Map<String, CustomerPolicy> customers = new HashMap<>();
    private List<Heartbeat> heartbeats = List.of();
    private SteeringConfig config;
    private long version;
    private long nowNanos;

    Run(long seed, Counts counts) {
      this.random = new Random(seed);
      this.counts = counts;
      this.region = pick(REGIONS);
      ServerOwners owners =
          new ServerOwners(new InstanceIdentity("entry", 1, region, region + "-a", "a:1", "a:2"));
      this.chooser = new ServerChooser(table, region, owners, new LimitShares(owners));
    }

    private <T> T pick(List<T> values) {
      return values.get(random.nextInt(values.size()));
    }

    void play() {
      table.replaceAll(randomEntries(), 0, nowNanos);
      configure();
      for (int step = 0; step < STEPS; step++) {
        nowNanos += random.nextLong(200_000_000L);
        table.tick(nowNanos);
        chooser.tick(SERVICES, nowNanos);
        changeSomething();
        admit();
        request(pick(admitted));
      }
    }

    private List<ServerEntry> randomEntries() {
      List<ServerEntry> entries = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        if (random.nextInt(4) > 0) {
          entries.add(randomEntry(i));
        }
      }
      return entries;
    }

    private ServerEntry randomEntry(int number) {
      String dataCentre = pick(DATA_CENTRES);
      String id = "server-" + number;
      dataCentreByServer.put(id, dataCentre);
      return new ServerEntry(
          id,
          pick(SERVICES),
          "10.0.0." + random.nextInt(200),
          80,
          dataCentre,
          1 + random.nextInt(4),
          false,
          random.nextInt(8) == 0 ? 1_000 : 0,
          random.nextInt(3));
    }

    private void changeSomething() {
      switch (random.nextInt(10)) {
        case 0 -> configure();
        case 1 -> table.put(randomEntry(random.nextInt(SERVERS)), 1_000, nowNanos);
        case 2 -> table.remove("server-" + random.nextInt(SERVERS), nowNanos);
        case 3 -> table.onStoreReturned(nowNanos);
        case 4 -> table.evacuate(pick(DATA_CENTRES));
        case 5 -> table.reopen(pick(DATA_CENTRES), 0, nowNanos);
        case 6 -> heartbeats = randomHeartbeats();
        case 7 -> failSomeServer();
        default -> endSomeRequests();
      }
    }

    private void failSomeServer() {
      table
          .find("server-" + random.nextInt(SERVERS))
          .ifPresent(server -> server.onUnreachable(random.nextBoolean(), nowNanos));
    }

    private void endSomeRequests() {
      while (!busy.isEmpty() && random.nextInt(8) > 0) {
        busy.removeLast().onRequestEnded();
      }
    }

    private List<Heartbeat> randomHeartbeats() {
      List<Heartbeat> all = new ArrayList<>();
      for (int i = random.nextInt(6); i > 0; i--) {
        String ofRegion = pick(REGIONS);
        InstanceIdentity sender =
            new InstanceIdentity("entry-" + i, 1, ofRegion, ofRegion + "-a", "b:" + i, "c:" + i);
        all.add(
            new Heartbeat(
                sender,
                random.nextInt(4) > 0,
                0,
                random.nextInt(3) == 0,
                1,
                ListVersions.NONE,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                List.of()));
      }
      return all;
    }

    private Set<String> randomHomes() {
      Set<String> homes = new HashSet<>();
      if (random.nextInt(3) > 0) {
        for (int i = 1 + random.nextInt(2); i > 0; i--) {
          homes.add(pick(REGIONS));
        }
      }
      return homes;
    }

    /** Puts a newer version in force, which lacks some names and has other homes for the rest. */
    private void configure() {
      routes.clear();
      customers.clear();
      for (int i = 0; i < NAMES; i++) {
        if (random.nextInt(5) > 0 || i == 0) {
          addRoute("route-" + i);
        }
        if (random.nextInt(5) > 0) {
          addCustomer("customer-" + i);
        }
      }
      config =
          new SteeringConfig(
              ++version,
              List.copyOf(routes.values()),
              List.of(),
              List.copyOf(customers.values()),
              new CallerLimits(1, 1, 1, 1));
    }

    private void addRoute(String name) {
      Set<String> homes = randomHomes();
      routeHomes.put(name, homes);
      routes.put(
          name,
          new ServiceRoute(
              name,
              "h",
              "/" + name + "/",
              true,
              5_000,
              500,
              3,
              0,
              false,
              random.nextBoolean(),
              HomeRegions.ofListed(homes),
              List.of(new WeightedService(pick(SERVICES), 1))));
    }

    private void addCustomer(String name) {
      Set<String> homes = randomHomes();
      customerHomes.put(name, homes);
      customers.put(
          name, new CustomerPolicy(name, Set.of(name), 0, 0, 0, HomeRegions.ofListed(homes)));
    }

    private void admit() {
      ServiceRoute route = pick(List.copyOf(routes.values()));
      Optional<CustomerPolicy> customer =
          customers.isEmpty() || random.nextInt(3) == 0
              ? Optional.empty()
              : Optional.of(pick(List.copyOf(customers.values())));
      admitted.add(
          new Admitted(
              version,
              route,
              routeHomes.get(route.name()),
              customer,
              customer.map(ofKey -> customerHomes.get(ofKey.name())).orElse(Set.of()),
              new HashSet<>()));
    }

    /** Returns whether a region is a home by the lists alone from which the versions were made. */
    private boolean isHome(Admitted request, String of) {
      Set<String> ofRoute =
          routes.containsKey(request.route().name())
              ? routeHomes.get(request.route().name())
              : request.routeHomes();
      return (ofRoute.isEmpty() || ofRoute.contains(of)) && isHomeOfCustomer(request, of);
    }

    private boolean isHomeOfCustomer(Admitted request, String of) {
      if (request.customer().isEmpty()) {
        return true;
      }
      String name = request.customer().get().name();
      Set<String> homes =
          customers.containsKey(name) ? customerHomes.get(name) : request.customerHomes();
      return homes.isEmpty() || homes.contains(of);
    }

    private void request(Admitted request) {
      HomeRegions homes = config.homeRegionsOf(request.route(), request.customer());
      boolean hasHomes = REGIONS.stream().anyMatch(of -> !isHome(request, of));
      counts.requests++;
      counts.withoutCommonRegion += REGIONS.stream().noneMatch(of -> isHome(request, of)) ? 1 : 0;
      counts.afterNewerConfiguration += request.version() < version ? 1 : 0;
      counts.serversWithHomes += chooseServer(request, homes) && hasHomes ? 1 : 0;
      counts.relaysWithHomes += chooseRelay(request, homes) && hasHomes ? 1 : 0;
    }

    private boolean chooseServer(Admitted request, HomeRegions homes) {
      String service = request.route().services().getFirst().service();
      PlacementQuery query =
          new PlacementQuery(
              service,
              request.route().name(),
              random.nextLong(),
              random.nextInt(3),
              500_000_000L,
              2_000_000_000L,
              homes,
              request.triedServers());
      ServicePolicy policy = new ServicePolicy(service, "/", 100, 1_000, 5);
      if (!(chooser.choose(query, policy, nowNanos)
          instanceof Placement.Chosen(ServerState server, int loadBefore))) {
        return false;
      }
      String dataCentre = dataCentreByServer.get(server.entry().id());
      assertThat(isHome(request, REGION_BY_DATA_CENTRE.getOrDefault(dataCentre, "")))
          .as("%s in %s for %s under version %d", server.entry(), dataCentre, request, version)
          .isTrue();
      server.onSent();
      busy.add(server);
      request.triedServers().add(server.entry().id());
      return true;
    }

    private boolean chooseRelay(Admitted request, HomeRegions homes) {
      Optional<InstanceIdentity> relay =
          RelayChoice.choose(heartbeats, region, homes, random.nextLong());
      boolean possible =
          heartbeats.stream()
              .filter(heartbeat -> heartbeat.takesCallers() && !heartbeat.partitionedFromServers())
              .anyMatch(heartbeat -> isHome(request, heartbeat.sender().region()));
      assertThat(relay.isPresent()).as("a relay for %s", request).isEqualTo(possible);
      assertThat(relay.map(instance -> isHome(request, instance.region())).orElse(true))
          .as("%s for %s under version %d", relay, request, version)
          .isTrue();
      return relay.isPresent();
    }
  }

  @Test
  void should_choose_servers_and_relays_in_the_newest_homes_when_everything_changes_at_random() {
    int seeds = Integer.getInteger("homes.seeds", DEFAULT_SEEDS);
    Counts counts = new Counts();
    for (long seed = 1; seed <= seeds; seed++) {
      Run run = new Run(seed, counts);
      try {
        run.play();
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
    System.out.printf(
        "homes: %d requests, %d after a newer version, %d without a common region; with homes:"
            + " %d servers, %d relays%n",
        counts.requests,
        counts.afterNewerConfiguration,
        counts.withoutCommonRegion,
        counts.serversWithHomes,
        counts.relaysWithHomes);
    assertThat(counts.afterNewerConfiguration).isPositive();
    assertThat(counts.withoutCommonRegion).isPositive();
    assertThat(counts.serversWithHomes).isPositive();
    assertThat(counts.relaysWithHomes).isPositive();
  }
}
