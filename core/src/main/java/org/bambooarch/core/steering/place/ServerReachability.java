package org.bambooarch.core.steering.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Detects that this instance is partitioned from all servers, and says which servers to probe.
 *
 * <p>Only a new connection is evidence that servers can be reached: connections that were open
 * before may live on while new ones are refused. A suspicion, such as a failed connection, starts a
 * round of probes, which covers every data centre. The instance is partitioned if, since the last
 * new connection, a probe failed in every data centre that has usable servers and connections
 * failed to several servers. Servers that crash do not lead to this, because probes prefer servers
 * to which no connection has failed.
 *
 * <p>Not thread-safe.
 */
public final class ServerReachability {

  /** Age above which a failure no longer counts, in nanoseconds: 5 s. */
  private static final long FAILURE_VALID_NANOS = 5_000_000_000L;

  /** Time between two rounds of probes while not partitioned, in nanoseconds: 1 s. */
  private static final long SUSPECTED_ROUND_NANOS = 1_000_000_000L;

  /** Time between two rounds of probes while partitioned, in nanoseconds: 0.5 s. */
  private static final long PARTITIONED_ROUND_NANOS = 500_000_000L;

  /** Number of servers to which connections must fail, if there are that many. */
  private static final int MIN_FAILED_SERVERS = 3;

  private final ServerTable table;
  private final Map<String, Long> failedNanosById = new HashMap<>();
  private final Map<String, Long> probeFailedNanosByDataCentre = new HashMap<>();
  private boolean partitioned;
  private boolean suspected;
  private int rounds;
  private long lastRoundNanos;

  /** Creates the state of an instance that has not connected to any server yet. */
  public ServerReachability(ServerTable table) {
    this.table = table;
  }

  /** Returns whether this instance is partitioned from all servers. */
  public boolean isPartitioned() {
    return partitioned;
  }

  /** Returns to how many servers connections have failed since the last new connection. */
  public int failedServers() {
    return failedNanosById.size();
  }

  /** Returns in how many data centres probes have failed since the last new connection. */
  public int failedDataCentres() {
    return probeFailedNanosByDataCentre.size();
  }

  /** Records that something suggests a partition, so that the next round of probes is due. */
  public void suspect() {
    suspected = true;
  }

  /** Records that a new connection to a server was opened, which ends a partition. */
  public void onConnected(ServerEntry server) {
    if (!isListed(server)) {
      return;
    }
    failedNanosById.clear();
    probeFailedNanosByDataCentre.clear();
    suspected = false;
    partitioned = false;
  }

  /** Records that no connection to a server could be opened for a request. */
  public void onConnectFailed(ServerEntry server, long nowNanos) {
    if (!isListed(server)) {
      return;
    }
    failedNanosById.put(server.id(), nowNanos);
    suspected = true;
    decide(nowNanos);
  }

  /** Records that a probe of a server failed. */
  public void onProbeFailed(ServerEntry server, long nowNanos) {
    if (!isListed(server)) {
      return;
    }
    probeFailedNanosByDataCentre.put(server.dataCentre(), nowNanos);
    onConnectFailed(server, nowNanos);
  }

  private boolean isListed(ServerEntry server) {
    return table
        .find(server.id())
        .map(ServerState::entry)
        .filter(listed -> listed.host().equals(server.host()) && listed.port() == server.port())
        .isPresent();
  }

  private void decide(long nowNanos) {
    if (partitioned) {
      return;
    }
    expire(nowNanos);
    List<ServerState> usable = table.usableServers();
    int failed = 0;
    for (ServerState server : usable) {
      if (!probeFailedNanosByDataCentre.containsKey(server.entry().dataCentre())) {
        return;
      }
      if (failedNanosById.containsKey(server.entry().id())) {
        failed++;
      }
    }
    partitioned = failed > 0 && failed >= Math.min(MIN_FAILED_SERVERS, usable.size());
  }

  private void expire(long nowNanos) {
    failedNanosById.values().removeIf(at -> nowNanos - at >= FAILURE_VALID_NANOS);
    probeFailedNanosByDataCentre.values().removeIf(at -> nowNanos - at >= FAILURE_VALID_NANOS);
  }

  /**
   * Returns the servers to probe now; empty unless a round of probes is due. A round has a server
   * of each data centre, and as many as the verdict needs.
   */
  public List<ServerState> nextProbes(long nowNanos) {
    if (!isRoundDue(nowNanos)) {
      return List.of();
    }
    suspected = false;
    rounds++;
    lastRoundNanos = nowNanos;
    List<ServerState> usable = new ArrayList<>(table.usableServers());
    if (usable.isEmpty()) {
      partitioned = false;
    }
    usable.sort(
        Comparator.comparing((ServerState s) -> failedNanosById.containsKey(s.entry().id()))
            .thenComparingLong(s -> Hashes.combine(rounds, s.idHash())));
    List<ServerState> probes = new ArrayList<>();
    Set<String> dataCentres = new HashSet<>();
    for (ServerState server : usable) {
      if (dataCentres.add(server.entry().dataCentre())) {
        probes.add(server);
      }
    }
    for (ServerState server : usable) {
      if (probes.size() < MIN_FAILED_SERVERS && !probes.contains(server)) {
        probes.add(server);
      }
    }
    return probes;
  }

  private boolean isRoundDue(long nowNanos) {
    long intervalNanos = partitioned ? PARTITIONED_ROUND_NANOS : SUSPECTED_ROUND_NANOS;
    return (suspected || partitioned)
        && (rounds == 0 || nowNanos - lastRoundNanos >= intervalNanos);
  }
}
