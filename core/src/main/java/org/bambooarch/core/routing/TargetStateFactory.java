package org.bambooarch.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.routing.internal.PoolCounters;
import org.bambooarch.core.routing.internal.RegionSpillover;
import org.bambooarch.core.routing.internal.ServerCounters;
import org.bambooarch.core.routing.internal.ServerPool;
import org.bambooarch.core.routing.internal.TargetState;
import org.bambooarch.core.routing.internal.TargetViewBuilder;

/** Builds the control thread's columns for a table, with what is known from the table before. */
final class TargetStateFactory {

  private static final double INITIAL_LIMIT_SLOTS = 2;
  private static final int ABSENT = -1;

  private TargetStateFactory() {}

  static TargetState create(TargetTable table, RoutingSettings settings, long nowNanos) {
    TargetTable none = TargetTable.from(Inventory.empty(), table.localDataCentre());
    TargetState noState = new TargetState(0, new ServerPool[0][]);
    return carryOver(none, noState, table, settings, nowNanos);
  }

  static TargetState carryOver(
      TargetTable tableBefore,
      TargetState before,
      TargetTable table,
      RoutingSettings settings,
      long nowNanos) {
    TargetState state = new TargetState(table.servers().size(), table.pools());
    Map<String, Integer> rowsBefore = rowsByName(tableBefore);
    for (int row = 0; row < table.servers().size(); row++) {
      Server server = table.servers().get(row);
      fillServer(state, table, row, nowNanos);
      Integer rowBefore = rowsBefore.get(server.name());
      if (rowBefore != null) {
        state.copyServer(row, before, rowBefore);
        startOrEndDrain(state, row, before, rowBefore, settings, nowNanos);
      }
    }
    for (int service = 0; service < state.pools.length; service++) {
      int at = serviceRow(tableBefore, before, table.service(service).name());
      fillService(state, service, before, at);
    }
    return state;
  }

  private static void fillServer(TargetState state, TargetTable table, int row, long nowNanos) {
    state.serverCounters[row] = new ServerCounters();
    state.slots[row] = table.servers().get(row).slots();
    state.roundTripNanos[row] = table.roundTripNanos(row);
    state.limit[row] = Math.min(INITIAL_LIMIT_SLOTS, state.slots[row]);
    state.drained[row] = table.drained(row);
    state.drainEndsNanos[row] = nowNanos;
    state.slowStartEndsNanos[row] = nowNanos;
    state.reportExpiresNanos[row] = nowNanos;
  }

  private static void startOrEndDrain(
      TargetState state,
      int row,
      TargetState before,
      int rowBefore,
      RoutingSettings settings,
      long nowNanos) {
    if (state.drained[row] && before.drained[rowBefore]) {
      state.drainEndsNanos[row] = before.drainEndsNanos[rowBefore];
      return;
    }
    if (state.drained[row]) {
      state.drainEndsNanos[row] = nowNanos + TargetViewBuilder.DRAIN_RAMP_NANOS;
      return;
    }
    if (before.drained[rowBefore]) {
      state.slowStartEndsNanos[row] = nowNanos + settings.slowStartNanos();
      state.limit[row] = 1;
    }
  }

  private static void fillService(
      TargetState state, int service, TargetState before, int serviceBefore) {
    if (serviceBefore != ABSENT) {
      state.copyService(service, before, serviceBefore);
    }
    for (int pool = 0; pool < state.pools[service].length; pool++) {
      ServerPool row = state.pools[service][pool];
      int poolBefore = serviceBefore == ABSENT ? ABSENT : poolRow(before, serviceBefore, row);
      if (poolBefore != ABSENT) {
        state.copyPool(service, pool, before, serviceBefore, poolBefore);
        continue;
      }
      state.poolCounters[service][pool] = new PoolCounters(row.remote());
      state.poolRamp[service][pool] = RegionSpillover.initialRamp(row.remote());
    }
  }

  private static int serviceRow(TargetTable table, TargetState state, String name) {
    for (int service = 0; service < state.pools.length; service++) {
      if (table.service(service).name().equals(name)) {
        return service;
      }
    }
    return ABSENT;
  }

  private static int poolRow(TargetState state, int service, ServerPool wanted) {
    for (int pool = 0; pool < state.pools[service].length; pool++) {
      ServerPool row = state.pools[service][pool];
      if (row.region().equals(wanted.region()) && row.remote() == wanted.remote()) {
        return pool;
      }
    }
    return ABSENT;
  }

  private static Map<String, Integer> rowsByName(TargetTable table) {
    Map<String, Integer> rows = new HashMap<>();
    for (int row = 0; row < table.servers().size(); row++) {
      rows.put(table.servers().get(row).name(), row);
    }
    return rows;
  }
}
