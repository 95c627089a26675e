package org.bambooarch.entry.request.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.core.time.Clock;
import org.bambooarch.entry.control.FleetView;
import org.bambooarch.entry.request.RouteTable.RouteMatch;

/** Chooses at random, local servers first, and passes over servers that lately failed. */
public final class ViewSelection implements TargetSelection {

  private static final long AVOID_NANOS = 1_000_000_000L;

  private final Supplier<FleetView> views;
  private final String localDataCentre;
  private final Supplier<RandomGenerator> random;
  private final Clock clock;
  private final Map<String, Long> avoidedUntilNanos = new ConcurrentHashMap<>();

  /** Creates the selection over published views of the fleet. */
  public ViewSelection(
      Supplier<FleetView> views,
      String localDataCentre,
      Supplier<RandomGenerator> random,
      Clock clock) {
    this.views = views;
    this.localDataCentre = localDataCentre;
    this.random = random;
    this.clock = clock;
  }

  @Override
  public Optional<Taken> choose(RouteMatch match, Set<String> excludedServers) {
    List<Server> left = new ArrayList<>(serversOf(match));
    left.removeIf(server -> excludedServers.contains(server.name()));
    List<Server> well = left.stream().filter(server -> !isAvoided(server)).toList();
    List<Server> usable = well.isEmpty() ? left : well;
    List<Server> local =
        usable.stream().filter(server -> server.dataCentre().equals(localDataCentre)).toList();
    List<Server> candidates = local.isEmpty() ? usable : local;
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int index = random.get().nextInt(candidates.size());
    return Optional.of(new TakenServer(candidates.get(index)));
  }

  @Override
  public Optional<Taken> take(RouteMatch match, String server) {
    return serversOf(match).stream()
        .filter(candidate -> candidate.name().equals(server))
        .findFirst()
        .map(TakenServer::new);
  }

  @Override
  public Set<String> servers(RouteMatch match) {
    Set<String> names = new TreeSet<>();
    serversOf(match).forEach(server -> names.add(server.name()));
    return names;
  }

  private List<Server> serversOf(RouteMatch match) {
    return views.get().config().inventory().servers().stream()
        .filter(server -> server.service().equals(match.service()))
        .toList();
  }

  private boolean isAvoided(Server server) {
    Long untilNanos = avoidedUntilNanos.get(server.name());
    return untilNanos != null && clock.monotonicNanos() - untilNanos < 0;
  }

  private final class TakenServer implements Taken {

    private final Server server;

    private TakenServer(Server server) {
      this.server = server;
    }

    @Override
    public Server server() {
      return server;
    }

    @Override
    public void end(AttemptOutcome outcome, long latencyNanos) {
      if (!(outcome instanceof AttemptOutcome.Answered)) {
        avoidedUntilNanos.put(server.name(), clock.monotonicNanos() + AVOID_NANOS);
      }
    }

    @Override
    public void cancel() {}
  }
}
