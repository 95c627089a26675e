package org.bambooarch.core.steering.fleet;

import java.util.List;

/**
 * What the platform's store keeps of a request that servers crashed on.
 *
 * @param requestHash hash of what the request asked
 * @param crashes the newest crashes, oldest first; empty if the request is no longer suspected
 */
public record CrashRecord(long requestHash, List<Crash> crashes) {

  /**
   * One crash of a server while it ran the request.
   *
   * @param serverHash hash of the server's name
   * @param storeMillis time of the store's steady clock, in milliseconds
   */
  public record Crash(int serverHash, long storeMillis) {}

  /** Makes an unmodifiable copy of the list. */
  public CrashRecord {
    crashes = List.copyOf(crashes);
  }
}
