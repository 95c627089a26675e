package org.bambooarch.core.steering.place;

import java.util.HashMap;
import java.util.Map;

/**
 * Servers that reported that they leave, or whose entries were removed, each with its start time.
 *
 * <p>After the store has returned from an older copy, it lists such servers as if they had not
 * left, until their entries lapse. For that time, entries of the same start are not believed.
 *
 * <p>Not thread-safe.
 */
final class DepartedServers {

  /**
   * Time after the store's return from an older copy for which its entries may be outdated, in
   * nanoseconds: 10 s, twice the silence after which the platform removes an entry.
   */
  static final long OUTDATED_COPY_NANOS = 10_000_000_000L;

  /** Time for which a departure is remembered, in nanoseconds: 60 s. */
  private static final long RETENTION_NANOS = 60_000_000_000L;

  private record Departure(long startWallMillis, long departedNanos) {}

  private final Map<String, Departure> departureById = new HashMap<>();
  private boolean copyMayBeOutdated;
  private long outdatedUntilNanos;

  /** Records that a server leaves or has left. */
  void onDeparted(ServerEntry entry, long nowNanos) {
    departureById.put(entry.id(), new Departure(entry.startWallMillis(), nowNanos));
  }

  /** Records that the store has returned from an older copy. */
  void onStoreReverted(long nowNanos) {
    copyMayBeOutdated = true;
    outdatedUntilNanos = nowNanos + OUTDATED_COPY_NANOS;
  }

  /** Returns whether an entry lists a server that has left since the entry was written. */
  boolean isOutdated(ServerEntry entry, long nowNanos) {
    Departure departure = departureById.get(entry.id());
    return copyMayBeOutdated
        && nowNanos - outdatedUntilNanos < 0
        && !entry.draining()
        && departure != null
        && departure.startWallMillis() == entry.startWallMillis();
  }

  /** Forgets departures that are too old for any copy. */
  void tick(long nowNanos) {
    departureById.values().removeIf(d -> nowNanos - d.departedNanos() > RETENTION_NANOS);
  }
}
