package org.bambooarch.gateway.warmup;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.config.WeightedService;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;

/** A store that lists one route, one service and one server, and never reports a change. */
final class WarmUpStore implements ControlStore {

  static final String HOST = "rehearsal.invalid";
  static final String PREFIX = "/rehearsal/";
  private static final String SERVICE = "rehearsal";
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int SLOTS = 64;

  private final int serverPort;

  WarmUpStore(int serverPort) {
    this.serverPort = serverPort;
  }

  @Override
  public CompletableFuture<ControlUpdate> read(Topic topic) {
    List<ControlChange> changes =
        switch (topic) {
          case OPERATOR -> List.of(new ControlChange.ConfigurationChanged(config()));
          case SERVERS -> List.of(new ControlChange.ServerListed(server()));
          case INSTANCES -> List.of();
        };
    return CompletableFuture.completedFuture(new ControlUpdate(0, 1, changes));
  }

  private static SteeringConfig config() {
    ServiceRoute route =
        new ServiceRoute(
            "rehearsal",
            HOST,
            PREFIX,
            true,
            TIMEOUT_MILLIS,
            TIMEOUT_MILLIS,
            1,
            0,
            true,
            true,
            HomeRegions.ALL,
            List.of(new WeightedService(SERVICE, 1)));
    ServicePolicy policy = new ServicePolicy(SERVICE, "/", SLOTS, 0, SLOTS);
    CallerLimits limits = new CallerLimits(1 << 14, 1 << 20, TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    return new SteeringConfig(1, List.of(route), List.of(policy), List.of(), limits);
  }

  private ServerEntry server() {
    return new ServerEntry(
        "server", SERVICE, "127.0.0.1", serverPort, "rehearsal", SLOTS, false, 0, 1);
  }

  @Override
  public CompletableFuture<ControlUpdate> watch(Topic topic, long afterVersion, long waitMillis) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<Void> register(InstanceIdentity instance) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> deregister(InstanceIdentity instance) {
    return CompletableFuture.completedFuture(null);
  }
}
