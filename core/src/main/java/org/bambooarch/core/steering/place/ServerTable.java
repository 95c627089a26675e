package org.bambooarch.core.steering.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * All servers that the platform lists, by service.
 *
 * <p>Entries in the platform's store lapse while the store is unavailable. Servers whose entries
 * lapsed still get requests until {@link #LAPSE_GRACE_NANOS} after the store's return, since they
 * need that time to register again. A server that reported that it is draining gets no such grace,
 * since it never takes requests again under the same start time.
 *
 * <p>Not thread-safe.
 */
public final class ServerTable {

  /**
   * Time after the store's return in which servers whose entries are missing still get requests, in
   * nanoseconds: 1.5 s. Most lapsed entries are registered again by then. It may not be longer,
   * since an instance that was partitioned takes about a second to reach the store again, and must
   * then stop sending requests to servers that left in the meantime.
   */
  public static final long LAPSE_GRACE_NANOS = 1_500_000_000L;

  /**
   * Time after the grace in which the state of such a server is kept although it gets no requests,
   * in nanoseconds: 0.5 s, since entries return up to 2 s after the store.
   */
  static final long RETENTION_NANOS = 500_000_000L;

  private final Map<String, String> regionByDataCentre;
  private final Map<String, ServerState> servers = new HashMap<>();
  private final Map<String, List<ServerState>> serversByService = new HashMap<>();
  private final Map<String, Long> graceEndNanosByMissingId = new HashMap<>();
  private final Set<String> lapsedIds = new HashSet<>();
  private final Set<String> evacuatedDataCentres = new HashSet<>();
  private final LeavingServers leaving = new LeavingServers();
  private final DepartedServers departed = new DepartedServers();
  private long graceEndNanos;
  private boolean graceStarted;
  private boolean loaded;
  private boolean partitioned;

  /** Creates an empty table; servers in a data centre that the map lacks get an empty region. */
  public ServerTable(Map<String, String> regionByDataCentre) {
    this.regionByDataCentre = Map.copyOf(regionByDataCentre);
  }

  /** Returns whether the whole list of servers was read at least once. */
  public boolean isLoaded() {
    return loaded;
  }

  /**
   * Starts the grace for lapsed entries; call when the store responds again after an outage.
   *
   * @param returnedNanos monotonic time of the store's return, as early as it is known
   */
  public void onStoreReturned(long returnedNanos) {
    graceEndNanos = returnedNanos + LAPSE_GRACE_NANOS;
    graceStarted = true;
  }

  /**
   * Records that the store has returned from an older copy, which lists servers that have left
   * since it was made.
   */
  public void onStoreReverted(long nowNanos) {
    departed.onStoreReverted(nowNanos);
  }

  /**
   * Replaces the table by the whole list; a server that it lacks is removed as by {@link #remove}.
   */
  public void replaceAll(Collection<ServerEntry> entries, long coldStartMillis, long nowNanos) {
    Set<String> listed = new HashSet<>();
    for (ServerEntry entry : entries) {
      listed.add(entry.id());
      put(entry, coldStartMillis, nowNanos);
    }
    for (String id : List.copyOf(servers.keySet())) {
      if (!listed.contains(id)) {
        remove(id, nowNanos);
      }
    }
    loaded = true;
  }

  /**
   * Adds a server or replaces its entry by a newer one. A server that was started again, or that is
   * new after the first whole list, counts as cold for at least {@code coldStartMillis}; any other
   * new server counts as cold for the time that it reports.
   */
  public void put(ServerEntry entry, long coldStartMillis, long nowNanos) {
    if (departed.isOutdated(entry, nowNanos)) {
      return;
    }
    if (entry.draining()) {
      departed.onDeparted(entry, nowNanos);
    }
    graceEndNanosByMissingId.remove(entry.id());
    lapsedIds.remove(entry.id());
    String region = regionByDataCentre.getOrDefault(entry.dataCentre(), "");
    ServerState existing = servers.get(entry.id());
    if (existing == null) {
      ServerState server = new ServerState(entry, region, nowNanos);
      server.assumeCold(
          loaded ? Math.max(coldStartMillis, entry.coldLeftMillis()) : entry.coldLeftMillis(),
          nowNanos);
      add(server, nowNanos);
      return;
    }
    boolean restarted = existing.entry().startWallMillis() != entry.startWallMillis();
    if (restarted) {
      existing.assumeCold(coldStartMillis, nowNanos);
    }
    boolean moved = !existing.entry().service().equals(entry.service());
    if (moved) {
      drop(entry.id());
      add(new ServerState(entry, region, nowNanos), nowNanos);
      return;
    }
    existing.update(entry, region, nowNanos);
  }

  private void add(ServerState server, long nowNanos) {
    server.onPartitionChanged(partitioned, nowNanos);
    servers.put(server.entry().id(), server);
    serversByService.computeIfAbsent(server.entry().service(), s -> new ArrayList<>()).add(server);
  }

  /**
   * Removes a server that the platform no longer lists; within the grace after the store's return,
   * a server that is not draining is kept until its end.
   */
  public void remove(String id, long nowNanos) {
    ServerState server = servers.get(id);
    if (server == null) {
      return;
    }
    boolean mayReturn = graceStarted && nowNanos - graceEndNanos < 0;
    if (mayReturn && !server.entry().draining()) {
      graceEndNanosByMissingId.putIfAbsent(id, graceEndNanos);
      return;
    }
    departed.onDeparted(server.entry(), nowNanos);
    drop(id);
  }

  private void drop(String id) {
    graceEndNanosByMissingId.remove(id);
    lapsedIds.remove(id);
    ServerState server = servers.remove(id);
    if (server != null) {
      serversByService.getOrDefault(server.entry().service(), new ArrayList<>()).remove(server);
    }
  }

  /** Stops requests to servers whose entries have not come back, and later drops these servers. */
  public void tick(long nowNanos) {
    departed.tick(nowNanos);
    Iterator<Map.Entry<String, Long>> missing =
        List.copyOf(graceEndNanosByMissingId.entrySet()).iterator();
    while (missing.hasNext()) {
      Map.Entry<String, Long> entry = missing.next();
      long overdueNanos = nowNanos - entry.getValue();
      if (overdueNanos >= RETENTION_NANOS) {
        drop(entry.getKey());
      } else if (overdueNanos >= 0) {
        lapsedIds.add(entry.getKey());
      }
    }
  }

  /**
   * Stops requests to a server that stated in a response that it leaves, until it is started again.
   *
   * @return false if it had stated so before
   */
  public boolean onLeaving(ServerEntry entry) {
    return leaving.add(entry);
  }

  /** Stops requests to the servers of a data centre until {@link #reopen}. */
  public void evacuate(String dataCentre) {
    evacuatedDataCentres.add(dataCentre);
  }

  /**
   * Allows requests to a data centre's servers again. They count as cold, since they may have
   * become cold meanwhile.
   */
  public void reopen(String dataCentre, long coldStartMillis, long nowNanos) {
    if (!evacuatedDataCentres.remove(dataCentre)) {
      return;
    }
    for (ServerState server : servers.values()) {
      if (server.entry().dataCentre().equals(dataCentre)) {
        server.assumeCold(coldStartMillis, nowNanos);
      }
    }
  }

  /** Returns the names of the data centres whose servers get no requests. */
  public Set<String> evacuatedDataCentres() {
    return Set.copyOf(evacuatedDataCentres);
  }

  /** Sets how many requests the other instances have at each server; a missing hash means none. */
  public void updatePeersInFlight(Map<Integer, Integer> requestsByServerHash) {
    for (ServerState server : servers.values()) {
      server.setPeersInFlight(requestsByServerHash.getOrDefault(server.idHash(), 0));
    }
  }

  /**
   * Sets the lowest limit that the other instances report for each server, in requests per second;
   * a missing hash means none.
   */
  public void updateReportedLimits(Map<Integer, Double> limitsByServerHash) {
    for (ServerState server : servers.values()) {
      server
          .limit()
          .setReported(limitsByServerHash.getOrDefault(server.idHash(), NamedLimit.UNLIMITED));
    }
  }

  /**
   * Returns the limits that servers have named to this instance, in requests per second, by hash of
   * the server's name, for heartbeats.
   */
  public Map<Integer, Double> ownLimits(long nowNanos) {
    Map<Integer, Double> limits = new HashMap<>();
    for (ServerState server : servers.values()) {
      double perSecond = server.limit().ownPerSecond(nowNanos);
      if (perSecond != NamedLimit.UNLIMITED) {
        limits.put(server.idHash(), perSecond);
      }
    }
    return limits;
  }

  /** Returns this instance's requests in flight by hash of the server's name, for heartbeats. */
  public Map<Integer, Integer> ownInFlight() {
    Map<Integer, Integer> inFlight = new HashMap<>();
    for (ServerState server : servers.values()) {
      if (server.ownInFlight() > 0) {
        inFlight.put(server.idHash(), server.ownInFlight());
      }
    }
    return inFlight;
  }

  /** Returns the server with this name, or empty if the table has none. */
  public Optional<ServerState> find(String id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Returns all servers, also those that get no requests. */
  public Collection<ServerState> all() {
    return servers.values();
  }

  /** Returns the server with this name if it may get requests, or empty. */
  public Optional<ServerState> findAvailable(String id) {
    return find(id).filter(this::isAvailable);
  }

  /** Returns the servers of all services that may get requests. */
  List<ServerState> usableServers() {
    return servers.values().stream().filter(this::isAvailable).toList();
  }

  /**
   * Records that this instance is partitioned from all servers, or no longer is. Until the end of
   * the partition failed connections say nothing about a server; servers that are ejected for them
   * may get requests at once, both when a partition begins and when it ends.
   */
  public void onPartitionChanged(boolean partitioned, long nowNanos) {
    this.partitioned = partitioned;
    servers.values().forEach(server -> server.onPartitionChanged(partitioned, nowNanos));
  }

  /** Returns the servers of a service that may get requests. */
  List<ServerState> availableServers(String service) {
    List<ServerState> available = new ArrayList<>();
    for (ServerState server : serversByService.getOrDefault(service, List.of())) {
      if (isAvailable(server)) {
        available.add(server);
      }
    }
    return available;
  }

  private boolean isAvailable(ServerState server) {
    return !server.entry().draining()
        && !leaving.contains(server.entry())
        && !evacuatedDataCentres.contains(server.entry().dataCentre())
        && !lapsedIds.contains(server.entry().id());
  }
}
