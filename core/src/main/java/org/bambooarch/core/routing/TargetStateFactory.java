package org.bambooarch.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.routing.internal.PoolCounters;
import org.bambooarch.core.routing.internal.ServerCounters;
import org.bambooarch.core.routing.internal.ServerPool;
import org.bambooarch.core.routing.internal.SpilloverControl;
import org.bambooarch.core.routing.internal.TargetState;
import org.bambooarch.core.routing.internal.TargetViewBuilder;

/**
 * Creates the {@link TargetState} of a table and carries over what is known of servers, pools and
 * services that were in the previous table.
 */
final class TargetStateFactory {

  private static final double INITIAL_LIMIT_SLOTS = 2;

  /** Stands for the index of a service or pool that the previous table does not have. */
  private static final int ABSENT = -1;

  private TargetStateFactory() {}

  static TargetState create(TargetTable table, RoutingSettings settings, long nowNanos) {
    TargetTable none = TargetTable.from(Inventory.empty(), table.localDataCentre());
    TargetState noState = new TargetState(0, new ServerPool[0][]);
    return carryOver(none, noState, table, settings, nowNanos);
  }

  /** Servers and services are matched by name, pools by region. */
  static TargetState carryOver(
      TargetTable tableBefore,
      TargetState before,
      TargetTable table,
      RoutingSettings settings,
      long nowNanos) {
    TargetState state = new TargetState(table.servers().size(), table.pools());
    Map<String, Integer> indexesBefore = indexesByName(tableBefore);
    for (int index = 0; index < table.servers().size(); index++) {
      Server server = table.servers().get(index);
      fillServer(state, table, index, nowNanos);
      Integer serverBefore = indexesBefore.get(server.name());
      if (serverBefore != null) {
        state.copyServer(index, before, serverBefore);
        startOrEndDrain(state, index, before, serverBefore, settings, nowNanos);
      }
    }
    for (int service = 0; service < state.pools.length; service++) {
      int serviceBefore = serviceIndex(tableBefore, before, table.service(service).name());
      fillService(state, service, before, serviceBefore);
    }
    return state;
  }

  private static void fillServer(TargetState state, TargetTable table, int index, long nowNanos) {
    state.serverCounters[index] = new ServerCounters();
    state.slots[index] = table.servers().get(index).slots();
    state.roundTripNanos[index] = table.roundTripNanos(index);
    state.limit[index] = Math.min(INITIAL_LIMIT_SLOTS, state.slots[index]);
    state.drained[index] = table.drained(index);
    state.drainEndsNanos[index] = nowNanos;
    state.slowStartEndsNanos[index] = nowNanos;
    state.reportExpiresNanos[index] = nowNanos;
  }

  /**
   * Starts the drain ramp of a server that a drain rule newly covers, and the slow start of one
   * that no rule covers any more; a drain in progress keeps its end.
   */
  private static void startOrEndDrain(
      TargetState state,
      int index,
      TargetState before,
      int serverBefore,
      RoutingSettings settings,
      long nowNanos) {
    if (state.drained[index] && before.drained[serverBefore]) {
      state.drainEndsNanos[index] = before.drainEndsNanos[serverBefore];
      return;
    }
    if (state.drained[index]) {
      state.drainEndsNanos[index] = nowNanos + TargetViewBuilder.DRAIN_RAMP_NANOS;
      return;
    }
    if (before.drained[serverBefore]) {
      state.slowStartEndsNanos[index] = nowNanos + settings.slowStartNanos();
      state.limit[index] = 1;
    }
  }

  private static void fillService(
      TargetState state, int service, TargetState before, int serviceBefore) {
    if (serviceBefore != ABSENT) {
      state.copyService(service, before, serviceBefore);
    }
    for (int pool = 0; pool < state.pools[service].length; pool++) {
      ServerPool serverPool = state.pools[service][pool];
      int poolBefore =
          serviceBefore == ABSENT ? ABSENT : poolIndex(before, serviceBefore, serverPool);
      if (poolBefore != ABSENT) {
        state.copyPool(service, pool, before, serviceBefore, poolBefore);
        continue;
      }
      state.poolCounters[service][pool] = new PoolCounters(serverPool.remote());
      state.poolRamp[service][pool] = SpilloverControl.initialRamp(serverPool.remote());
    }
  }

  private static int serviceIndex(TargetTable table, TargetState state, String name) {
    for (int service = 0; service < state.pools.length; service++) {
      if (table.service(service).name().equals(name)) {
        return service;
      }
    }
    return ABSENT;
  }

  private static int poolIndex(TargetState state, int service, ServerPool wanted) {
    for (int pool = 0; pool < state.pools[service].length; pool++) {
      ServerPool serverPool = state.pools[service][pool];
      if (serverPool.region().equals(wanted.region()) && serverPool.remote() == wanted.remote()) {
        return pool;
      }
    }
    return ABSENT;
  }

  private static Map<String, Integer> indexesByName(TargetTable table) {
    Map<String, Integer> indexes = new HashMap<>();
    for (int index = 0; index < table.servers().size(); index++) {
      indexes.put(table.servers().get(index).name(), index);
    }
    return indexes;
  }
}
