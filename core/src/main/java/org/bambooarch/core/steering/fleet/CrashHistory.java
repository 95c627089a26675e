package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Blocks requests that servers crashed on, at this or at other instances.
 *
 * <p>A request on which {@link #CRASHES_TO_BLOCK} servers crashed is sent to no other server for
 * {@link #SHORT_BLOCK_NANOS} only, since a lost connection looks like a crash and a request for a
 * popular object may meet two by chance. A request on which {@link #CRASHES_TO_BLOCK_LONGER}
 * servers crashed is blocked for {@link #LONG_BLOCK_NANOS}. A complete response clears a request.
 *
 * <p>Requests are identified by a hash of what they ask.
 *
 * <p>Heartbeats spread crashes among the instances that run. A request that is blocked is also to
 * be recorded in the platform's store, from which instances that start learn of it: otherwise it
 * would be forgotten when all instances have been restarted, one after the other or at once.
 *
 * <p>Not thread-safe.
 */
public final class CrashHistory {

  /** Number of crashes after which a request is blocked for {@link #SHORT_BLOCK_NANOS}. */
  public static final int CRASHES_TO_BLOCK = 2;

  /** Number of crashes after which a request is blocked for {@link #LONG_BLOCK_NANOS}. */
  static final int CRASHES_TO_BLOCK_LONGER = 3;

  /**
   * Time for which a request that may have met two faults by chance is blocked, in nanoseconds.
   * These 10 s are longer than most faults.
   */
  static final long SHORT_BLOCK_NANOS = 10_000_000_000L;

  /**
   * Time for which a request that crashes every server it is sent to is blocked, in nanoseconds:
   * ten minutes, so that an operator can look at it.
   */
  static final long LONG_BLOCK_NANOS = 600_000_000_000L;

  /**
   * Largest number of requests kept, and to be recorded; beyond it the oldest, or all own crash
   * times, are dropped, and no further ones are recorded.
   */
  static final int MAX_REQUESTS = 4_096;

  /**
   * Largest number of crashes seen by this instance itself that a heartbeat reports; the oldest are
   * dropped.
   */
  static final int MAX_OWN_CRASHES = 4;

  /**
   * Time for which heartbeats repeat a crash, since some heartbeats are lost, in nanoseconds: four
   * heartbeats.
   */
  static final long REPEAT_NANOS = 4 * FleetTable.HEARTBEAT_NANOS;

  /**
   * Time within which lost connections to one server count as one crash, in nanoseconds: heartbeats
   * repeat a crash, and a crashed server takes longer than that to start again.
   */
  static final long SAME_CRASH_NANOS = 2 * REPEAT_NANOS;

  private record OwnCrash(Heartbeat.ServerCrash crash, long sinceNanos) {}

  /**
   * One crash of a server while it ran a request.
   *
   * @param serverHash hash of the server's name
   * @param nanos when it crashed, on the monotonic clock
   */
  public record Crash(int serverHash, long nanos) {

    private boolean isSameAs(Crash other) {
      return serverHash == other.serverHash && Math.abs(nanos - other.nanos) < SAME_CRASH_NANOS;
    }
  }

  private final Map<Long, Deque<Crash>> crashesByRequest =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Deque<Crash>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  private final Deque<OwnCrash> ownCrashes = new ArrayDeque<>();
  private final Map<Long, Long> lastCrashNanosByRequest = new HashMap<>();
  private final Set<Long> unrecorded = new LinkedHashSet<>();

  /**
   * Records that a server crashed while it ran a request of this instance.
   *
   * <p>Servers that crash at the same moment have another cause than the request. Another crash is
   * therefore counted only if the request was sent after its previous crash.
   *
   * @param sentNanos when the request was sent to the server, on the monotonic clock
   */
  public void onServerCrash(long requestHash, int serverHash, long sentNanos, long nowNanos) {
    Long previousNanos = lastCrashNanosByRequest.get(requestHash);
    if (previousNanos != null && sentNanos - previousNanos < 0) {
      return;
    }
    if (lastCrashNanosByRequest.size() >= MAX_REQUESTS) {
      lastCrashNanosByRequest.clear();
    }
    lastCrashNanosByRequest.put(requestHash, nowNanos);
    Heartbeat.ServerCrash crash = new Heartbeat.ServerCrash(requestHash, serverHash);
    add(crash, nowNanos);
    ownCrashes.addLast(new OwnCrash(crash, nowNanos));
    if (ownCrashes.size() > MAX_OWN_CRASHES) {
      ownCrashes.removeFirst();
    }
  }

  /** Adds the crashes that the heartbeat of another instance reports. */
  public void onPeerCrashes(List<Heartbeat.ServerCrash> crashes, long nowNanos) {
    crashes.forEach(crash -> add(crash, nowNanos));
  }

  /**
   * Adds crashes that the store has recorded.
   *
   * @param crashes crashes during one request, in any order
   */
  public void onRecorded(long requestHash, List<Crash> crashes, long nowNanos) {
    if (crashes.stream().allMatch(crash -> nowNanos - crash.nanos() >= LONG_BLOCK_NANOS)) {
      markUnrecorded(requestHash);
      return;
    }
    Deque<Crash> known = crashesByRequest.computeIfAbsent(requestHash, hash -> new ArrayDeque<>());
    List<Crash> missing =
        crashes.stream().filter(crash -> known.stream().noneMatch(crash::isSameAs)).toList();
    List<Crash> newest =
        Stream.concat(known.stream(), missing.stream())
            .sorted(Comparator.comparingLong(crash -> crash.nanos() - nowNanos))
            .toList();
    known.clear();
    newest.stream()
        .skip(Math.max(0, newest.size() - CRASHES_TO_BLOCK_LONGER))
        .forEach(known::addLast);
  }

  /**
   * Returns requests whose crashes the store should record now, and does not return them again
   * until something of them changes. Only instances at which a request crashed a server record it.
   */
  public List<Long> takeUnrecorded(int maxCount) {
    List<Long> requestHashes = unrecorded.stream().limit(maxCount).toList();
    requestHashes.forEach(unrecorded::remove);
    return requestHashes;
  }

  /** Lets a request be returned by {@link #takeUnrecorded} again, since it was not recorded. */
  public void onRecordingFailed(long requestHash) {
    markUnrecorded(requestHash);
  }

  /** Lets all requests be recorded again, since the store may have lost what it recorded. */
  public void onRecordsLost() {
    crashesByRequest.keySet().forEach(this::markUnrecordedIfBlocked);
  }

  /**
   * Returns the newest crashes during a request, oldest first; none if its record is to be removed.
   */
  public List<Crash> crashesOf(long requestHash) {
    return List.copyOf(crashesByRequest.getOrDefault(requestHash, new ArrayDeque<>()));
  }

  /** Clears a request that got a complete response. */
  public void onAnswered(long requestHash) {
    Deque<Crash> crashes = crashesByRequest.remove(requestHash);
    if (crashes != null && crashes.size() >= CRASHES_TO_BLOCK) {
      markUnrecorded(requestHash);
    }
    ownCrashes.removeIf(own -> own.crash().requestHash() == requestHash);
  }

  /** Returns whether a request is not blocked, and so may be sent to a server. */
  public boolean maySend(long requestHash, long nowNanos) {
    Deque<Crash> crashes = crashesByRequest.get(requestHash);
    if (crashes == null || crashes.size() < CRASHES_TO_BLOCK) {
      return true;
    }
    long blockNanos =
        crashes.size() < CRASHES_TO_BLOCK_LONGER ? SHORT_BLOCK_NANOS : LONG_BLOCK_NANOS;
    return nowNanos - crashes.getLast().nanos() >= blockNanos;
  }

  /** Returns the number of requests that are blocked. */
  public long blockedRequests(long nowNanos) {
    return crashesByRequest.keySet().stream().filter(hash -> !maySend(hash, nowNanos)).count();
  }

  /** Returns the newest crashes at this instance, for its heartbeats; oldest first. */
  public List<Heartbeat.ServerCrash> recentOwnCrashes(long nowNanos) {
    ownCrashes.removeIf(own -> nowNanos - own.sinceNanos() > REPEAT_NANOS);
    return ownCrashes.stream().map(OwnCrash::crash).toList();
  }

  private void add(Heartbeat.ServerCrash crash, long nowNanos) {
    Deque<Crash> crashes =
        crashesByRequest.computeIfAbsent(crash.requestHash(), hash -> new ArrayDeque<>());
    Crash added = new Crash(crash.serverHash(), nowNanos);
    if (crashes.stream().anyMatch(added::isSameAs)) {
      return;
    }
    crashes.addLast(added);
    if (crashes.size() > CRASHES_TO_BLOCK_LONGER) {
      crashes.removeFirst();
    }
    markUnrecordedIfBlocked(crash.requestHash());
  }

  private void markUnrecordedIfBlocked(long requestHash) {
    boolean blocked = crashesByRequest.get(requestHash).size() >= CRASHES_TO_BLOCK;
    if (blocked && lastCrashNanosByRequest.containsKey(requestHash)) {
      markUnrecorded(requestHash);
    }
  }

  private void markUnrecorded(long requestHash) {
    if (unrecorded.size() < MAX_REQUESTS) {
      unrecorded.add(requestHash);
    }
  }
}
