package org.bambooarch.core.request.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The crashes of targets known to this instance, by request fingerprint.
 *
 * <p>Evidence comes from this instance's own requests, from messages of other instances and from
 * the stored table {@code crashes}. It is merged by its id, so order and repetition do not matter.
 * All methods are thread-safe.
 */
public final class CrashTable {

  /** Number of known crashes from which on a request is blocked. */
  public static final int CRASHES_TO_BLOCK = 2;

  /** The most fingerprints kept; at the limit, the one that expires first is evicted. */
  public static final int MAX_FINGERPRINTS = 4_096;

  /** The most evidence kept for one fingerprint; evidence beyond it is ignored. */
  public static final int MAX_EVIDENCE_PER_FINGERPRINT = 8;

  private final Map<CrashFingerprint, Map<String, CrashEvidence>> evidenceByFingerprint =
      new HashMap<>();
  private final Map<String, Long> clearedUntilWallMillis = new HashMap<>();

  /**
   * Adds evidence; returns whether it was added.
   *
   * <p>Not added is evidence that is already known, expired, cleared, or beyond {@link
   * #MAX_EVIDENCE_PER_FINGERPRINT}.
   */
  public synchronized boolean add(CrashEvidence crash, long nowWallMillis) {
    if (crash.expiresAtWallMillis() <= nowWallMillis
        || clearedUntilWallMillis.containsKey(crash.id())) {
      return false;
    }
    if (!evidenceByFingerprint.containsKey(crash.fingerprint())
        && evidenceByFingerprint.size() >= MAX_FINGERPRINTS) {
      evictEarliestExpiry();
    }
    Map<String, CrashEvidence> evidenceById =
        evidenceByFingerprint.computeIfAbsent(crash.fingerprint(), f -> new HashMap<>());
    if (evidenceById.size() >= MAX_EVIDENCE_PER_FINGERPRINT) {
      return false;
    }
    return evidenceById.putIfAbsent(crash.id(), crash) == null;
  }

  /**
   * Clears the evidence against a request that got a complete response.
   *
   * @return the message for other instances, or empty if no crash was known
   */
  public synchronized Optional<CrashMessage.CrashCleared> clear(CrashFingerprint fingerprint) {
    Map<String, CrashEvidence> evidenceById = evidenceByFingerprint.get(fingerprint);
    if (evidenceById == null) {
      return Optional.empty();
    }
    List<String> ids = new ArrayList<>(evidenceById.keySet());
    ids.sort(Comparator.naturalOrder());
    long lastExpiry = latestExpiry(evidenceById);
    CrashMessage.CrashCleared cleared = new CrashMessage.CrashCleared(fingerprint, ids, lastExpiry);
    applyClearance(cleared);
    return Optional.of(cleared);
  }

  /** Applies a message of another instance, or a row of the stored table. */
  public synchronized void apply(CrashMessage message, long nowWallMillis) {
    switch (message) {
      case CrashMessage.CrashReport(CrashEvidence crash) -> add(crash, nowWallMillis);
      case CrashMessage.CrashCleared cleared -> applyClearance(cleared);
    }
  }

  /** Returns the crash status of a request; removes its expired evidence. */
  public synchronized CrashStatus status(CrashFingerprint fingerprint, long nowWallMillis) {
    Map<String, CrashEvidence> evidenceById = evidenceByFingerprint.get(fingerprint);
    if (evidenceById == null) {
      return new CrashStatus.Clear();
    }
    evidenceById.values().removeIf(crash -> crash.expiresAtWallMillis() <= nowWallMillis);
    if (evidenceById.isEmpty()) {
      evidenceByFingerprint.remove(fingerprint);
      return new CrashStatus.Clear();
    }
    if (evidenceById.size() >= CRASHES_TO_BLOCK) {
      return new CrashStatus.Blocked(latestExpiry(evidenceById));
    }
    return new CrashStatus.Suspect(evidenceById.values().iterator().next().server());
  }

  /** Returns the number of requests that are suspected or blocked, for the state dump. */
  public synchronized int size() {
    return evidenceByFingerprint.size();
  }

  private void applyClearance(CrashMessage.CrashCleared cleared) {
    for (String id : cleared.evidenceIds()) {
      clearedUntilWallMillis.put(id, cleared.expiresAtWallMillis());
    }
    Map<String, CrashEvidence> evidenceById = evidenceByFingerprint.get(cleared.fingerprint());
    if (evidenceById == null) {
      return;
    }
    evidenceById.keySet().removeAll(cleared.evidenceIds());
    if (evidenceById.isEmpty()) {
      evidenceByFingerprint.remove(cleared.fingerprint());
    }
  }

  /**
   * Removes expired evidence and expired clearances; called after each scan of the stored table.
   */
  public synchronized void removeExpired(long nowWallMillis) {
    clearedUntilWallMillis.values().removeIf(until -> until <= nowWallMillis);
    for (Map<String, CrashEvidence> evidenceById : evidenceByFingerprint.values()) {
      evidenceById.values().removeIf(crash -> crash.expiresAtWallMillis() <= nowWallMillis);
    }
    evidenceByFingerprint.values().removeIf(Map::isEmpty);
  }

  private void evictEarliestExpiry() {
    evidenceByFingerprint.entrySet().stream()
        .min(Comparator.comparingLong(entry -> latestExpiry(entry.getValue())))
        .map(Map.Entry::getKey)
        .ifPresent(evidenceByFingerprint::remove);
  }

  private static long latestExpiry(Map<String, CrashEvidence> evidenceById) {
    return evidenceById.values().stream()
        .mapToLong(CrashEvidence::expiresAtWallMillis)
        .max()
        .orElse(Long.MIN_VALUE);
  }
}
