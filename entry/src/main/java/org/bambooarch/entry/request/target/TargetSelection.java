package org.bambooarch.entry.request.target;

import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.entry.request.RouteTable.RouteMatch;

/** Chooses the server for each attempt and learns how the attempt ended. */
public interface TargetSelection {

  /** A server with one of its slots taken. */
  interface ServerSlot {

    /** Returns the server. */
    Server server();

    /** Gives the slot back and says how the attempt ended. */
    void complete(AttemptOutcome outcome, long latencyNanos);

    /** Gives the slot back after an attempt that says nothing about the server. */
    void cancel();
  }

  /** Takes a slot of a server that may run the route, if there is one. */
  Optional<ServerSlot> acquire(RouteMatch match, Set<String> excludedServers);

  /** Takes a slot of the named server, if it is in use for the route. */
  Optional<ServerSlot> acquireServer(RouteMatch match, String server);

  /** Returns the names of all declared servers of the route's service. */
  Set<String> servers(RouteMatch match);
}
