package org.bambooarch.core.steering.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.config.WeightedService;

/** An instance in the region "north" that has been ready for long and answers look-ups. */
final class LookupFixture {

  /** A host whose only route has the home region "north". */
  static final String HOST_OF_NORTH = "north.example";

  /** A host without home regions. */
  static final String OPEN_HOST = "open.example";

  /** A configuration with the routes of both hosts. */
  static final SteeringConfig CONFIG =
      new SteeringConfig(
          1,
          List.of(
              route(HOST_OF_NORTH, HomeRegions.ofListed(Set.of("north"))),
              route(OPEN_HOST, HomeRegions.ALL)),
          List.of(),
          List.of(),
          new CallerLimits(1, 1, 1, 1));

  private static final long NANOS_PER_MILLI = 1_000_000L;

  final FleetTable fleet;
  Optional<SteeringConfig> config = Optional.of(CONFIG);
  boolean selfTakesCallers = true;
  Optional<StoppingInstance> selfStopping = Optional.empty();
  boolean selfPartitioned;

  LookupFixture() {
    this(new FleetTable(instance("self", "north")));
    fleet.onListRead(-FleetTable.LIVENESS_TIMEOUT_NANOS);
  }

  private LookupFixture(FleetTable fleet) {
    this.fleet = fleet;
  }

  /** Returns an instance that has not read the list of instances yet. */
  static LookupFixture justStarted() {
    return new LookupFixture(new FleetTable(instance("self", "north")));
  }

  private static ServiceRoute route(String host, HomeRegions homes) {
    return new ServiceRoute(
        host,
        host,
        "/",
        true,
        1,
        1,
        1,
        0,
        true,
        false,
        homes,
        List.of(new WeightedService("shop", 1)));
  }

  /** Returns an instance in the only data centre of a region. */
  static InstanceIdentity instance(String name, String region) {
    return new InstanceIdentity(name, 1, region, region + "-a", name + ":80", name + ":90");
  }

  /** Receives a heartbeat of an instance that is ready. */
  void receiveHeartbeat(InstanceIdentity sender, boolean partitioned, long atMillis) {
    receive(sender, true, 0, partitioned, atMillis);
  }

  /** Receives a heartbeat of an instance that is stopping. */
  void receiveStopping(
      InstanceIdentity sender, long acceptsForMillis, boolean partitioned, long atMillis) {
    receive(sender, false, acceptsForMillis, partitioned, atMillis);
  }

  private void receive(
      InstanceIdentity sender,
      boolean takesCallers,
      long acceptsForMillis,
      boolean partitioned,
      long atMillis) {
    Heartbeat heartbeat =
        new Heartbeat(
            sender,
            takesCallers,
            acceptsForMillis,
            partitioned,
            1,
            ListVersions.NONE,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            List.of());
    fleet.onHeartbeat(heartbeat, atMillis * NANOS_PER_MILLI);
  }

  /** Returns the answer to a caller in the only data centre of a region. */
  DirectoryAnswer answer(String host, String region, long atMillis) {
    return InstanceDirectory.answer(
        new DirectoryLookup(host, region, region + "-a"),
        new InstanceDirectory.Knowledge(
            fleet, config, selfTakesCallers, selfStopping, selfPartitioned),
        atMillis * NANOS_PER_MILLI);
  }
}
