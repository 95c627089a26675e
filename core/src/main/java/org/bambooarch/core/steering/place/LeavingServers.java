package org.bambooarch.core.steering.place;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Servers that stated in a response that they leave, each with its start time. They take no further
 * requests under that start time, whatever their entries in the store say.
 *
 * <p>Not thread-safe.
 */
final class LeavingServers {

  /** Largest number of servers kept; beyond it the first that were added are dropped. */
  private static final int MAX_SERVERS = 4_096;

  private final Map<String, Long> startWallMillisById =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_SERVERS;
        }
      };

  /** Adds a server; returns false if it was added before. */
  boolean add(ServerEntry entry) {
    Long previousStart = startWallMillisById.put(entry.id(), entry.startWallMillis());
    return previousStart == null || previousStart != entry.startWallMillis();
  }

  /** Returns whether the server was added and has not been started again since. */
  boolean contains(ServerEntry entry) {
    Long startWallMillis = startWallMillisById.get(entry.id());
    return startWallMillis != null && startWallMillis == entry.startWallMillis();
  }
}
