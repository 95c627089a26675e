package org.bambooarch.core.routing;

import java.util.random.RandomGenerator;
import org.bambooarch.core.routing.internal.ServerCounters;
import org.bambooarch.core.routing.internal.ServerPool;
import org.bambooarch.core.routing.internal.TargetView;

/**
 * Picks a server of one pool and takes one of its slots.
 *
 * <p>Draws a few servers at random and takes the one with the lowest expected time. Safe for use
 * from many threads and allocates nothing.
 */
final class ServerPicker {

  /** Stands for the index of a server when no server can take a request. */
  static final int NONE = -1;

  private final ServerCounters[] serverCounters;
  private final int serversCompared;

  ServerPicker(ServerCounters[] serverCounters, int serversCompared) {
    this.serverCounters = serverCounters;
    this.serversCompared = serversCompared;
  }

  /**
   * Takes one slot of the server with the lowest expected time among those drawn at random, and
   * returns the index of that server.
   *
   * <p>Returns {@link #NONE} if no server of the pool can take the request. Also returns {@link
   * #NONE} if another thread takes the last slot of the best server first; the other servers are
   * not tried then.
   */
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

  /**
   * Returns whether the pool has an available server that is not excluded.
   *
   * <p>Without excluded servers it returns true and leaves it to the caller to check that the
   * pool's limit is above 0.
   */
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

  /** Returns the expected time of one more request, which rises with the server's load. */
  private double cost(TargetView view, int server) {
    double load = (serverCounters[server].inFlight() + 1.0) / view.limit()[server];
    return view.latencyNanos()[server] * (1 + load);
  }

  private static boolean contains(int[] servers, int server) {
    for (int candidate : servers) {
      if (candidate == server) {
        return true;
      }
    }
    return false;
  }
}
