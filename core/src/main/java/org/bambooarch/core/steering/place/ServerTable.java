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
 * <p>Servers whose entries lapsed while the store was away get requests until {@link
 * #LAPSE_GRACE_NANOS} after its return, since they need that time to register again. A server that
 * said that it is leaving is never used again under the same start time.
 *
 * <p>Not thread-safe.
 */
public final class ServerTable {

  /**
   * Time after the store's return in which servers whose entries are missing still get requests, in
   * nanoseconds: 1.5 s. Most lapsed entries are back by then; and an instance that was cut off,
   * which takes about a second to reach the store, must send nothing to a server that left
   * meanwhile.
   */
  public static final long LAPSE_GRACE_NANOS = 1_500_000_000L;

  /**
   * Time after that for which what is known of such a server is kept, in nanoseconds: 0.5 s, since
   * entries return up to two seconds after the store.
   */
  static final long KEEP_NANOS = 500_000_000L;

  private final Map<String, String> regionByDataCentre;
  private final Map<String, ServerCell> cells = new HashMap<>();
  private final Map<String, List<ServerCell>> byService = new HashMap<>();
  private final Map<String, Long> graceEndNanosOfMissing = new HashMap<>();
  private final Set<String> lapsed = new HashSet<>();
  private final Set<String> evacuated = new HashSet<>();
  private long lapseGraceUntilNanos;
  private boolean graceSet;
  private boolean loaded;

  /** Creates an empty table. */
  public ServerTable(Map<String, String> regionByDataCentre) {
    this.regionByDataCentre = Map.copyOf(regionByDataCentre);
  }

  /** Returns whether the servers have been listed at least once. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Notes that the store answers again after it did not. */
  public void onStoreReturned(long nowNanos) {
    lapseGraceUntilNanos = nowNanos + LAPSE_GRACE_NANOS;
    graceSet = true;
  }

  /** Takes in the whole list; servers that it lacks are gone. */
  public void replaceAll(Collection<ServerEntry> entries, long coldStartMillis, long nowNanos) {
    Set<String> listed = new HashSet<>();
    for (ServerEntry entry : entries) {
      listed.add(entry.id());
      put(entry, coldStartMillis, nowNanos);
    }
    for (String id : List.copyOf(cells.keySet())) {
      if (!listed.contains(id)) {
        remove(id, nowNanos);
      }
    }
    loaded = true;
  }

  /** Takes in the newest entry of one server. */
  public void put(ServerEntry entry, long coldStartMillis, long nowNanos) {
    graceEndNanosOfMissing.remove(entry.id());
    lapsed.remove(entry.id());
    String region = regionByDataCentre.getOrDefault(entry.dataCentre(), "");
    ServerCell known = cells.get(entry.id());
    if (known == null) {
      ServerCell cell = new ServerCell(entry, region, nowNanos);
      cell.presumeCold(
          loaded ? Math.max(coldStartMillis, entry.coldLeftMillis()) : entry.coldLeftMillis(),
          nowNanos);
      add(cell);
      return;
    }
    boolean restarted = known.entry().bornWallMillis() != entry.bornWallMillis();
    if (restarted) {
      known.presumeCold(coldStartMillis, nowNanos);
    }
    boolean moved = !known.entry().service().equals(entry.service());
    if (moved) {
      drop(entry.id());
      add(new ServerCell(entry, region, nowNanos));
      return;
    }
    known.update(entry, region, nowNanos);
  }

  private void add(ServerCell cell) {
    cells.put(cell.entry().id(), cell);
    byService.computeIfAbsent(cell.entry().service(), s -> new ArrayList<>()).add(cell);
  }

  /** Notes that the platform lists a server no longer. */
  public void remove(String id, long nowNanos) {
    ServerCell cell = cells.get(id);
    if (cell == null) {
      return;
    }
    boolean mayReturn = graceSet && nowNanos - lapseGraceUntilNanos < 0;
    if (mayReturn && !cell.entry().draining()) {
      graceEndNanosOfMissing.putIfAbsent(id, lapseGraceUntilNanos);
      return;
    }
    drop(id);
  }

  private void drop(String id) {
    graceEndNanosOfMissing.remove(id);
    lapsed.remove(id);
    ServerCell cell = cells.remove(id);
    if (cell != null) {
      byService.getOrDefault(cell.entry().service(), new ArrayList<>()).remove(cell);
    }
  }

  /** Closes, and later drops, servers whose entries have not come back. */
  public void tick(long nowNanos) {
    Iterator<Map.Entry<String, Long>> missing =
        List.copyOf(graceEndNanosOfMissing.entrySet()).iterator();
    while (missing.hasNext()) {
      Map.Entry<String, Long> entry = missing.next();
      long overdueNanos = nowNanos - entry.getValue();
      if (overdueNanos >= KEEP_NANOS) {
        drop(entry.getKey());
      } else if (overdueNanos >= 0) {
        lapsed.add(entry.getKey());
      }
    }
  }

  /** Closes a data centre's servers to requests. */
  public void evacuate(String dataCentre) {
    evacuated.add(dataCentre);
  }

  /** Opens a data centre's servers again; they may have become cold meanwhile. */
  public void takeBack(String dataCentre, long coldStartMillis, long nowNanos) {
    if (!evacuated.remove(dataCentre)) {
      return;
    }
    for (ServerCell cell : cells.values()) {
      if (cell.entry().dataCentre().equals(dataCentre)) {
        cell.presumeCold(coldStartMillis, nowNanos);
      }
    }
  }

  /** Returns the data centres that are closed to requests. */
  public Set<String> evacuated() {
    return Set.copyOf(evacuated);
  }

  /** Takes in how many requests other instances have at each server. */
  public void peersInFlight(Map<Integer, Integer> requestsByServerHash) {
    for (ServerCell cell : cells.values()) {
      cell.peersInFlight(requestsByServerHash.getOrDefault(cell.hash(), 0));
    }
  }

  /** Returns this instance's requests by hash of the server, for heartbeats. */
  public Map<Integer, Integer> ownInFlight() {
    Map<Integer, Integer> inFlight = new HashMap<>();
    for (ServerCell cell : cells.values()) {
      if (cell.ownInFlight() > 0) {
        inFlight.put(cell.hash(), cell.ownInFlight());
      }
    }
    return inFlight;
  }

  /** Returns a server by its name. */
  public Optional<ServerCell> find(String id) {
    return Optional.ofNullable(cells.get(id));
  }

  /** Returns all servers. */
  public Collection<ServerCell> all() {
    return cells.values();
  }

  /** Returns the servers of a service that may get requests. */
  List<ServerCell> open(String service) {
    List<ServerCell> open = new ArrayList<>();
    for (ServerCell cell : byService.getOrDefault(service, List.of())) {
      if (isOpen(cell)) {
        open.add(cell);
      }
    }
    return open;
  }

  private boolean isOpen(ServerCell cell) {
    return !cell.entry().draining()
        && !evacuated.contains(cell.entry().dataCentre())
        && !lapsed.contains(cell.entry().id());
  }
}
