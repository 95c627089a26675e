package org.bambooarch.core.steering.fleet;

import java.util.List;
import java.util.Map;

/**
 * What an instance reports to all others every {@link FleetTable#HEARTBEAT_NANOS}.
 *
 * @param sender the instance that reports
 * @param takesCallers whether look-ups may send callers to it
 * @param acceptsForMillis for how much longer it accepts requests while it is stopping, in
 *     milliseconds; 0 if it is not stopping or accepts none
 * @param partitionedFromServers whether it is partitioned from all servers
 * @param configVersion version of the configuration that it applies
 * @param listVersions newest changes of the store's lists that it knows
 * @param customerDemand requests per second that callers send it, by a hash of the customer's name
 * @param customerAdmitted requests that it admitted in the last window of the customers' limits, by
 *     the same hash
 * @param inFlight number of its requests that each server has, by a hash of the server's name
 * @param serverLimits limits that servers have named to it, in requests per second from all
 *     instances together, by the same hash
 * @param crashes crashes of servers while they ran its requests, newest last
 */
public record Heartbeat(
    InstanceIdentity sender,
    boolean takesCallers,
    long acceptsForMillis,
    boolean partitionedFromServers,
    long configVersion,
    ListVersions listVersions,
    Map<Integer, Double> customerDemand,
    Map<Integer, Integer> customerAdmitted,
    Map<Integer, Integer> inFlight,
    Map<Integer, Double> serverLimits,
    List<ServerCrash> crashes) {

  /**
   * One crash of a server while it ran a request.
   *
   * @param requestHash hash of what the request asked
   * @param serverHash hash of the server's name
   */
  public record ServerCrash(long requestHash, int serverHash) {}

  /** Makes unmodifiable copies of the collections. */
  public Heartbeat {
    customerDemand = Map.copyOf(customerDemand);
    customerAdmitted = Map.copyOf(customerAdmitted);
    inFlight = Map.copyOf(inFlight);
    serverLimits = Map.copyOf(serverLimits);
    crashes = List.copyOf(crashes);
  }
}
