package org.bambooarch.gateway;

import java.net.InetSocketAddress;
import java.util.Map;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.QuotaTolerance;

/**
 * Settings of one entry instance.
 *
 * @param identity who the instance is
 * @param clientAddress address for callers
 * @param readinessAddress address at which the platform asks whether the instance is ready
 * @param directoryAddress address at which callers ask which instance to use
 * @param peerAddress address for heartbeats of other instances
 * @param metricsAddress address of the metrics
 * @param regionByDataCentre regions of all data centres
 * @param retryRatio further sends per request that the whole fleet may make
 * @param retrySlack further sends on top within a window, over the whole fleet
 * @param quotaTolerance how far customers may go beyond their limits
 * @param lookupTtlMillis how long a caller may keep an answer of the directory
 * @param graceMillis time from the signal to stop until the process is killed
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
    long graceMillis) {

  /** Copies the map. */
  public GatewaySettings {
    regionByDataCentre = Map.copyOf(regionByDataCentre);
  }
}
