package org.bambooarch.entry.request.target;

import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.entry.request.RouteTable.RouteMatch;

/** Selects the server for each attempt and is told how the attempt ended; thread-safe. */
public interface TargetSelection {

  /**
   * One slot of a server, occupied by an attempt. Exactly one of {@link #complete} and {@link
   * #cancel} must be called, once.
   */
  interface ServerSlot {

    /** Returns the server to which the attempt is sent. */
    Server server();

    /**
     * Releases the slot and reports how the attempt ended.
     *
     * @param latencyNanos duration of the attempt in nanoseconds
     */
    void complete(AttemptOutcome outcome, long latencyNanos);

    /** Releases the slot after an attempt whose end says nothing about the server. */
    void cancel();
  }

  /** Acquires a slot of any server for the route; empty if none is in use with a free slot. */
  Optional<ServerSlot> acquire(RouteMatch match, Set<String> excludedServers);

  /**
   * Acquires a slot of the named server; empty if it has no free slot or is not in use for the
   * route.
   */
  Optional<ServerSlot> acquireServer(RouteMatch match, String server);

  /** Returns the names of all servers that the configuration declares for the route's service. */
  Set<String> servers(RouteMatch match);
}
