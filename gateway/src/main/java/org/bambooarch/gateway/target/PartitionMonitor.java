package org.bambooarch.gateway.target;

import java.util.List;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerReachability;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;
import org.bambooarch.core.time.Clock;
import org.tinylog.Logger;

/**
 * Watches the connections to all servers for a partition of this instance from them, and reports
 * each change of the verdict.
 *
 * <p>Used on the event loop only.
 */
public final class PartitionMonitor implements ConnectionObserver {

  /**
   * Time without data from any server after which a busy instance probes, in nanoseconds: 0.4 s.
   */
  private static final long SILENCE_NANOS = 400_000_000L;

  /** Number of requests in flight, and of servers that have them, from which silence counts. */
  private static final int MIN_REQUESTS = 3;

  private static final int MIN_SERVERS = 2;

  private final ServerReachability reachability;
  private final ServerTable servers;
  private final Clock clock;
  private final Runnable onVerdictChanged;
  private boolean partitioned;
  private long partitionedSinceNanos;
  private long silentSinceNanos;

  /**
   * Creates a monitor.
   *
   * @param reachability gives the verdict
   * @param servers all servers that the platform lists
   * @param clock source of monotonic time
   * @param onVerdictChanged called after each change of the verdict
   */
  public PartitionMonitor(
      ServerReachability reachability,
      ServerTable servers,
      Clock clock,
      Runnable onVerdictChanged) {
    this.reachability = reachability;
    this.servers = servers;
    this.clock = clock;
    this.onVerdictChanged = onVerdictChanged;
    this.silentSinceNanos = clock.monotonicNanos();
  }

  /** Updates what depends on time, and returns the servers that must be probed now. */
  public List<ServerState> tick() {
    long nowNanos = clock.monotonicNanos();
    if (!awaitsResponses()) {
      silentSinceNanos = nowNanos;
    } else if (nowNanos - silentSinceNanos >= SILENCE_NANOS) {
      reachability.suspect();
    }
    List<ServerState> probes = reachability.nextProbes(nowNanos);
    checkVerdict();
    return probes;
  }

  private boolean awaitsResponses() {
    int requests = 0;
    int busyServers = 0;
    for (ServerState server : servers.all()) {
      requests += server.ownInFlight();
      busyServers += server.ownInFlight() > 0 ? 1 : 0;
    }
    return requests >= MIN_REQUESTS && busyServers >= MIN_SERVERS;
  }

  @Override
  public void onConnected(ServerEntry server) {
    reachability.onConnected(server);
    checkVerdict();
  }

  @Override
  public void onConnectFailed(ServerEntry server) {
    reachability.onConnectFailed(server, clock.monotonicNanos());
    checkVerdict();
  }

  @Override
  public void onProbeFailed(ServerEntry server) {
    reachability.onProbeFailed(server, clock.monotonicNanos());
    checkVerdict();
  }

  @Override
  public void onConnectSlow() {
    reachability.suspect();
  }

  @Override
  public void onRead() {
    silentSinceNanos = clock.monotonicNanos();
  }

  private void checkVerdict() {
    if (reachability.isPartitioned() == partitioned) {
      return;
    }
    long nowNanos = clock.monotonicNanos();
    partitioned = !partitioned;
    if (partitioned) {
      partitionedSinceNanos = nowNanos;
      Logger.warn(
          "event=servers-unreachable failed={} data-centres={}",
          reachability.failedServers(),
          reachability.failedDataCentres());
    } else {
      Logger.info(
          "event=servers-reachable after-millis={}",
          (nowNanos - partitionedSinceNanos) / 1_000_000L);
    }
    servers.onPartitionChanged(partitioned, nowNanos);
    onVerdictChanged.run();
  }
}
