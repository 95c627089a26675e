package org.bambooarch.core.request.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The deaths of targets by request fingerprint, as far as this instance knows.
 *
 * <p>Evidence comes from own requests, from other instances and from the table {@code crashes}; it
 * is merged by its id, so order and repetition do not matter. All methods are thread-safe.
 */
public final class CrashTable {

  /** How many deaths stop a request. */
  public static final int DEATHS_TO_STOP = 2;

  /** The most fingerprints kept; the one that expires first makes room. */
  public static final int MAX_FINGERPRINTS = 4_096;

  /** The most evidence kept for one fingerprint; more deaths add nothing. */
  public static final int MAX_EVIDENCE = 8;

  private final Map<CrashFingerprint, Map<String, CrashEvidence>> evidence = new HashMap<>();
  private final Map<String, Long> clearedUntilWallMillis = new HashMap<>();

  /** Adds evidence; returns whether it was new. */
  public synchronized boolean add(CrashEvidence death, long nowWallMillis) {
    if (death.expiresAtWallMillis() <= nowWallMillis
        || clearedUntilWallMillis.containsKey(death.id())) {
      return false;
    }
    if (!evidence.containsKey(death.fingerprint()) && evidence.size() >= MAX_FINGERPRINTS) {
      dropFirstToExpire();
    }
    Map<String, CrashEvidence> known =
        evidence.computeIfAbsent(death.fingerprint(), f -> new HashMap<>());
    if (known.size() >= MAX_EVIDENCE) {
      return false;
    }
    return known.putIfAbsent(death.id(), death) == null;
  }

  /**
   * Forgets the deaths of a request that was answered in full.
   *
   * @return the message for other instances, or empty when no death was known
   */
  public synchronized Optional<CrashMessage.CrashCleared> clear(CrashFingerprint fingerprint) {
    Map<String, CrashEvidence> known = evidence.get(fingerprint);
    if (known == null) {
      return Optional.empty();
    }
    List<String> ids = new ArrayList<>(known.keySet());
    ids.sort(Comparator.naturalOrder());
    long lastExpiry = latestExpiry(known);
    CrashMessage.CrashCleared cleared = new CrashMessage.CrashCleared(fingerprint, ids, lastExpiry);
    forget(cleared);
    return Optional.of(cleared);
  }

  /** Applies what another instance says. */
  public synchronized void apply(CrashMessage message, long nowWallMillis) {
    switch (message) {
      case CrashMessage.CrashReport(CrashEvidence death) -> add(death, nowWallMillis);
      case CrashMessage.CrashCleared cleared -> forget(cleared);
    }
  }

  /** Returns how far a request is suspected. */
  public synchronized CrashStanding standing(CrashFingerprint fingerprint, long nowWallMillis) {
    Map<String, CrashEvidence> known = evidence.get(fingerprint);
    if (known == null) {
      return new CrashStanding.Clear();
    }
    known.values().removeIf(death -> death.expiresAtWallMillis() <= nowWallMillis);
    if (known.isEmpty()) {
      evidence.remove(fingerprint);
      return new CrashStanding.Clear();
    }
    if (known.size() >= DEATHS_TO_STOP) {
      return new CrashStanding.Stopped(latestExpiry(known));
    }
    return new CrashStanding.Suspect(known.values().iterator().next().server());
  }

  /** Returns the number of requests that are suspected or stopped, for the state dump. */
  public synchronized int size() {
    return evidence.size();
  }

  private void forget(CrashMessage.CrashCleared cleared) {
    for (String id : cleared.evidenceIds()) {
      clearedUntilWallMillis.put(id, cleared.expiresAtWallMillis());
    }
    Map<String, CrashEvidence> known = evidence.get(cleared.fingerprint());
    if (known == null) {
      return;
    }
    known.keySet().removeAll(cleared.evidenceIds());
    if (known.isEmpty()) {
      evidence.remove(cleared.fingerprint());
    }
  }

  /** Forgets evidence and clearances that expired; called on each tick of control. */
  public synchronized void removeExpired(long nowWallMillis) {
    clearedUntilWallMillis.values().removeIf(until -> until <= nowWallMillis);
    for (Map<String, CrashEvidence> known : evidence.values()) {
      known.values().removeIf(death -> death.expiresAtWallMillis() <= nowWallMillis);
    }
    evidence.values().removeIf(Map::isEmpty);
  }

  private void dropFirstToExpire() {
    evidence.entrySet().stream()
        .min(Comparator.comparingLong(entry -> latestExpiry(entry.getValue())))
        .map(Map.Entry::getKey)
        .ifPresent(evidence::remove);
  }

  private static long latestExpiry(Map<String, CrashEvidence> known) {
    return known.values().stream()
        .mapToLong(CrashEvidence::expiresAtWallMillis)
        .max()
        .orElse(Long.MIN_VALUE);
  }
}
