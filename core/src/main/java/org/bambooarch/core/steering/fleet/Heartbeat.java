package org.bambooarch.core.steering.fleet;

import java.util.List;
import java.util.Map;

/**
 * What an instance tells all others several times a second.
 *
 * @param sender the instance
 * @param takesCallers whether look-ups may name it
 * @param configVersion version of the configuration that it has in force
 * @param customerDemand requests per second that callers send it, by a hash of the customer's name
 * @param customerAdmitted requests that it admitted in the last window of the customers' limits, by
 *     the same hash
 * @param inFlight requests that it has at servers, by a hash of the server's name
 * @param crashes requests that ended with the death of their server, newest last
 */
public record Heartbeat(
    InstanceIdentity sender,
    boolean takesCallers,
    long configVersion,
    Map<Integer, Double> customerDemand,
    Map<Integer, Integer> customerAdmitted,
    Map<Integer, Integer> inFlight,
    List<ServerCrash> crashes) {

  /**
   * One death of a server while it ran a request.
   *
   * @param requestHash hash of what the request asked
   * @param serverHash hash of the server's name
   */
  public record ServerCrash(long requestHash, int serverHash) {}

  /** Copies the collections. */
  public Heartbeat {
    customerDemand = Map.copyOf(customerDemand);
    customerAdmitted = Map.copyOf(customerAdmitted);
    inFlight = Map.copyOf(inFlight);
    crashes = List.copyOf(crashes);
  }
}
