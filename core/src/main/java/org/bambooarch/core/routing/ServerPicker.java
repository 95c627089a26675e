package org.bambooarch.core.routing;

import java.util.random.RandomGenerator;
import org.bambooarch.core.routing.internal.ServerCounters;
import org.bambooarch.core.routing.internal.ServerPool;
import org.bambooarch.core.routing.internal.TargetView;

/** Picks a server inside one pool and takes one of its slots. */
final class ServerPicker {

  static final int NONE = -1;

  private final ServerCounters[] serverCounters;
  private final int serversCompared;

  ServerPicker(ServerCounters[] serverCounters, int serversCompared) {
    this.serverCounters = serverCounters;
    this.serversCompared = serversCompared;
  }

  /** Returns the row of a server with a slot taken, or {@link #NONE}. */
  int acquire(
      TargetView view, ServerPool pool, int[] excluded, RandomGenerator random, long nowNanos) {
    int[] servers = pool.servers();
    int best = NONE;
    for (int sample = 0; sample < serversCompared; sample++) {
      int start = random.nextInt(servers.length);
      int candidate = nextWithCapacity(view, servers, excluded, start, nowNanos);
      if (candidate == NONE) {
        return NONE;
      }
      if (best == NONE || cost(view, candidate) < cost(view, best)) {
        best = candidate;
      }
    }
    return serverCounters[best].tryAcquire(view.limit()[best]) ? best : NONE;
  }

  /** Returns whether the pool has a server in use that is not excluded. */
  boolean hasUsableServer(TargetView view, ServerPool pool, int[] excluded) {
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

  private int nextWithCapacity(
      TargetView view, int[] servers, int[] excluded, int start, long nowNanos) {
    for (int step = 0; step < servers.length; step++) {
      int server = servers[(start + step) % servers.length];
      ServerCounters counters = serverCounters[server];
      boolean hasCapacity =
          counters.inFlight() < view.limit()[server] && !counters.isPaused(nowNanos);
      if (hasCapacity && !contains(excluded, server)) {
        return server;
      }
    }
    return NONE;
  }

  private double cost(TargetView view, int server) {
    double load = (serverCounters[server].inFlight() + 1.0) / view.limit()[server];
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
