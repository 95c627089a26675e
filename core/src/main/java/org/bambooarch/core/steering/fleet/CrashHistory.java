package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that ended with the death of their server, here or at other instances.
 *
 * <p>A request that killed {@link #CRASHES_TO_BLOCK} servers is sent to no further one for a while:
 * a lost connection looks like a death, and a popular object may meet two. One that killed {@link
 * #CRASHES_TO_BLOCK_LONGER} is sent to none for long. An answer in full clears it.
 *
 * <p>Not thread-safe.
 */
public final class CrashHistory {

  /** How many servers a request may kill before it is stopped for {@link #SHORT_BLOCK_NANOS}. */
  public static final int CRASHES_TO_BLOCK = 2;

  /** How many servers a request may kill before it is stopped for {@link #LONG_BLOCK_NANOS}. */
  static final int CRASHES_TO_BLOCK_LONGER = 3;

  /** Stop of a request that may have met two faults by chance: longer than most faults, 10 s. */
  static final long SHORT_BLOCK_NANOS = 10_000_000_000L;

  /** Stop of a request that kills what it meets: ten minutes, until someone has looked at it. */
  static final long LONG_BLOCK_NANOS = 600_000_000_000L;

  /** The most requests kept. */
  static final int MAX_REQUESTS = 4_096;

  /** How many own deaths a heartbeat tells at most. */
  static final int MAX_OWN_CRASHES = 4;

  /** How long heartbeats repeat a death, since some are lost: four heartbeats. */
  static final long REPEAT_NANOS = 4 * FleetTable.HEARTBEAT_NANOS;

  /**
   * Time within which losses at one server are one death: heartbeats repeat it, and a server that
   * died takes longer than that to come back.
   */
  static final long SAME_CRASH_NANOS = 2 * REPEAT_NANOS;

  private record OwnCrash(Heartbeat.ServerCrash crash, long sinceNanos) {}

  private record Crash(int serverHash, long nanos) {}

  private final Map<Long, Deque<Crash>> crashesByRequest =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Deque<Crash>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  private final Deque<OwnCrash> ownCrashes = new ArrayDeque<>();
  private final Map<Long, Long> lastCrashNanosByRequest = new HashMap<>();

  /**
   * Notes that a server died while it ran a request of this instance.
   *
   * <p>Servers that die at the same moment have another cause: a request counts again only if it
   * was sent after the death before.
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

  /** Takes in what another instance saw. */
  public void onPeerCrashes(List<Heartbeat.ServerCrash> crashes, long nowNanos) {
    crashes.forEach(crash -> add(crash, nowNanos));
  }

  /** Clears a request that was answered in full. */
  public void onAnswered(long requestHash) {
    crashesByRequest.remove(requestHash);
    ownCrashes.removeIf(own -> own.crash().requestHash() == requestHash);
  }

  /** Returns whether a request may be sent to a server. */
  public boolean maySend(long requestHash, long nowNanos) {
    Deque<Crash> crashes = crashesByRequest.get(requestHash);
    if (crashes == null || crashes.size() < CRASHES_TO_BLOCK) {
      return true;
    }
    long blockNanos =
        crashes.size() < CRASHES_TO_BLOCK_LONGER ? SHORT_BLOCK_NANOS : LONG_BLOCK_NANOS;
    return nowNanos - crashes.getLast().nanos() >= blockNanos;
  }

  /** Returns the newest own deaths, for heartbeats. */
  public List<Heartbeat.ServerCrash> recentOwnCrashes(long nowNanos) {
    ownCrashes.removeIf(own -> nowNanos - own.sinceNanos() > REPEAT_NANOS);
    return ownCrashes.stream().map(OwnCrash::crash).toList();
  }

  private void add(Heartbeat.ServerCrash crash, long nowNanos) {
    Deque<Crash> crashes =
        crashesByRequest.computeIfAbsent(crash.requestHash(), hash -> new ArrayDeque<>());
    boolean alreadyCounted =
        crashes.stream()
            .anyMatch(
                known ->
                    known.serverHash() == crash.serverHash()
                        && nowNanos - known.nanos() < SAME_CRASH_NANOS);
    if (alreadyCounted) {
      return;
    }
    crashes.addLast(new Crash(crash.serverHash(), nowNanos));
    if (crashes.size() > CRASHES_TO_BLOCK_LONGER) {
      crashes.removeFirst();
    }
  }
}
