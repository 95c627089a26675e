package org.bambooarch.core.routing;

import java.util.random.RandomGenerator;
import org.bambooarch.core.routing.internal.Pool;
import org.bambooarch.core.routing.internal.ServerCell;
import org.bambooarch.core.routing.internal.TargetView;

/** Picks a server inside one pool and takes one of its slots. */
final class ServerPicker {

  static final int NONE = -1;

  private final ServerCell[] cells;
  private final int choices;

  ServerPicker(ServerCell[] cells, int choices) {
    this.cells = cells;
    this.choices = choices;
  }

  /** Returns the row of a server with a slot taken, or {@link #NONE}. */
  int acquire(TargetView view, Pool pool, int[] excluded, RandomGenerator random, long nowNanos) {
    int[] servers = pool.servers();
    int best = NONE;
    for (int draw = 0; draw < choices; draw++) {
      int start = random.nextInt(servers.length);
      int candidate = nextWithRoom(view, servers, excluded, start, nowNanos);
      if (candidate == NONE) {
        return NONE;
      }
      if (best == NONE || cost(view, candidate) < cost(view, best)) {
        best = candidate;
      }
    }
    return cells[best].tryAcquire(view.limit()[best]) ? best : NONE;
  }

  /** Returns whether the pool has a server in use that is not excluded. */
  boolean anyLeft(TargetView view, Pool pool, int[] excluded) {
    if (excluded.length == 0) {
      return true;
    }
    for (int server : pool.servers()) {
      if (view.limit()[server] > 0 && !contains(excluded, server)) {
        return true;
      }
    }
    return false;
  }

  private int nextWithRoom(
      TargetView view, int[] servers, int[] excluded, int start, long nowNanos) {
    for (int step = 0; step < servers.length; step++) {
      int server = servers[(start + step) % servers.length];
      ServerCell cell = cells[server];
      boolean hasRoom = cell.inFlight() < view.limit()[server] && !cell.isPaused(nowNanos);
      if (hasRoom && !contains(excluded, server)) {
        return server;
      }
    }
    return NONE;
  }

  private double cost(TargetView view, int server) {
    double load = (cells[server].inFlight() + 1.0) / view.limit()[server];
    return view.latencyNanos()[server] * (1 + load);
  }

  private static boolean contains(int[] rows, int row) {
    for (int candidate : rows) {
      if (candidate == row) {
        return true;
      }
    }
    return false;
  }
}
