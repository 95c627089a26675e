package org.bambooarch.entry.request.target;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.core.routing.Choice;
import org.bambooarch.core.routing.ChosenServer;
import org.bambooarch.core.routing.TargetChooser;
import org.bambooarch.core.routing.TargetTable;
import org.bambooarch.entry.request.RouteTable.RouteMatch;

/** Chooses by the library's tables: own region first, by room, health and link budget. */
public final class TargetChooserSelection implements TargetSelection {

  private final Supplier<TargetChooser> choosers;
  private final Supplier<RandomGenerator> random;

  /** Creates the selection over the chooser in force. */
  public TargetChooserSelection(
      Supplier<TargetChooser> choosers, Supplier<RandomGenerator> random) {
    this.choosers = choosers;
    this.random = random;
  }

  @Override
  public Optional<ServerSlot> acquire(RouteMatch match, Set<String> excludedServers) {
    TargetChooser chooser = choosers.get();
    int[] excluded = rowsOf(chooser.table(), excludedServers);
    return acquireSlot(chooser, match, excluded);
  }

  @Override
  public Optional<ServerSlot> acquireServer(RouteMatch match, String server) {
    TargetChooser chooser = choosers.get();
    Set<String> others = servers(match);
    if (!others.remove(server)) {
      return Optional.empty();
    }
    return acquireSlot(chooser, match, rowsOf(chooser.table(), others));
  }

  @Override
  public Set<String> servers(RouteMatch match) {
    Set<String> names = new TreeSet<>();
    for (Server server : choosers.get().table().servers()) {
      if (server.service().equals(match.service())) {
        names.add(server.name());
      }
    }
    return names;
  }

  private Optional<ServerSlot> acquireSlot(
      TargetChooser chooser, RouteMatch match, int[] excluded) {
    int route = chooser.table().routeIndex(match.service(), match.route().name());
    if (route == TargetTable.NO_ROUTE) {
      return Optional.empty();
    }
    return switch (chooser.choose(route, excluded, random.get())) {
      case ChosenServer chosen -> Optional.of(new ChooserSlot(chooser, chosen));
      case Choice.NoRoom noRoom -> Optional.empty();
      case Choice.NoTarget noTarget -> Optional.empty();
    };
  }

  private static int[] rowsOf(TargetTable table, Set<String> names) {
    if (names.isEmpty()) {
      return TargetChooser.NONE_EXCLUDED;
    }
    List<Server> servers = table.servers();
    int[] rows = new int[names.size()];
    int count = 0;
    for (int row = 0; row < servers.size() && count < rows.length; row++) {
      if (names.contains(servers.get(row).name())) {
        rows[count++] = row;
      }
    }
    return Arrays.copyOf(rows, count);
  }

  /** A slot that the chooser gave. */
  private record ChooserSlot(TargetChooser chooser, ChosenServer chosen) implements ServerSlot {

    @Override
    public Server server() {
      return chosen.server();
    }

    @Override
    public void complete(AttemptOutcome outcome, long latencyNanos) {
      switch (outcome) {
        case AttemptOutcome.ResponseReceived responseReceived ->
            chooser.onAnswered(chosen, latencyNanos);
        case AttemptOutcome.Shed shed -> chooser.onShed(chosen);
        case AttemptOutcome.NotSent notSent -> chooser.onFailed(chosen);
        case AttemptOutcome.ConnectionLost connectionLost -> chooser.onFailed(chosen);
        case AttemptOutcome.InvalidResponse invalidResponse -> chooser.onFailed(chosen);
        case AttemptOutcome.TimedOut timedOut -> chooser.onFailed(chosen);
      }
    }

    @Override
    public void cancel() {
      chooser.onCancelled(chosen);
    }
  }
}
