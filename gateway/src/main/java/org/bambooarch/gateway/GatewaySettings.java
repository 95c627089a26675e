package org.bambooarch.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.QuotaTolerance;

/**
 * Settings of one entry instance. Port 0 in an address to listen on stands for any free port.
 *
 * @param identity name, incarnation and location of the instance
 * @param clientAddress TCP address that accepts requests of clients
 * @param readinessAddress TCP address for the platform's readiness probes
 * @param directoryAddress TCP address at which clients look up which instances to use
 * @param peerAddress address that receives heartbeats (UDP) and relayed requests (TCP) of other
 *     instances
 * @param metricsAddress TCP address that serves the Prometheus metrics
 * @param regionByDataCentre region of each data centre, by the data centre's name
 * @param retryRatio retries per request that the whole fleet may make
 * @param retrySlack retries that the whole fleet may make within a window on top of the ratio
 * @param quotaTolerance how far customers may exceed their rate limits
 * @param lookupTtlMillis how long a client may cache a directory response, in milliseconds
 * @param graceMillis time from the stop signal until the platform kills the process, in
 *     milliseconds
 * @param listAgeBounds within which times changes of the store's lists must be in force
 */
public record GatewaySettings(
    InstanceIdentity identity,
    InetSocketAddress clientAddress,
    InetSocketAddress readinessAddress,
    InetSocketAddress directoryAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress metricsAddress,
    Map<String, String> regionByDataCentre,
    double retryRatio,
    double retrySlack,
    QuotaTolerance quotaTolerance,
    long lookupTtlMillis,
    long graceMillis,
    ListAgeBounds listAgeBounds) {

  /** Copies the map of regions, so that the settings are immutable. */
  public GatewaySettings {
    regionByDataCentre = Map.copyOf(regionByDataCentre);
  }
}
