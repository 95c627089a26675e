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
 * <p>A request that killed {@link #DEATHS_TO_STOP} servers is sent to no further one for a while: a
 * lost connection looks like a death, and a popular object may meet two. One that killed {@link
 * #DEATHS_TO_BAN} is sent to none for long. An answer in full clears it.
 *
 * <p>Not thread-safe.
 */
public final class CrashHistory {

  /** How many servers a request may kill before it is stopped for {@link #STOP_NANOS}. */
  public static final int DEATHS_TO_STOP = 2;

  /** How many servers a request may kill before it is stopped for {@link #BAN_NANOS}. */
  static final int DEATHS_TO_BAN = 3;

  /** Stop of a request that may have met two faults by chance: longer than most faults, 10 s. */
  static final long STOP_NANOS = 10_000_000_000L;

  /** Stop of a request that kills what it meets: ten minutes, until someone has looked at it. */
  static final long BAN_NANOS = 600_000_000_000L;

  /** The most requests kept. */
  static final int MAX_REQUESTS = 4_096;

  /** How many own deaths a heartbeat tells at most. */
  static final int MAX_NOTES = 4;

  /** How long heartbeats repeat a death, since some are lost: four heartbeats. */
  static final long REPEAT_NANOS = 4 * FleetTable.HEARTBEAT_NANOS;

  /**
   * Time within which losses at one server are one death: heartbeats repeat it, and a server that
   * died takes longer than that to come back.
   */
  static final long SAME_DEATH_NANOS = 2 * REPEAT_NANOS;

  private record OwnNote(Heartbeat.CrashNote note, long sinceNanos) {}

  private record Death(int serverHash, long nanos) {}

  private final Map<Long, Deque<Death>> deathsByRequest =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Deque<Death>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  private final Deque<OwnNote> ownNotes = new ArrayDeque<>();
  private final Map<Long, Long> lastDeathNanos = new HashMap<>();

  /**
   * Notes that a server died while it ran a request of this instance.
   *
   * <p>Servers that die at the same moment have another cause: a request counts again only if it
   * was sent after the death before.
   */
  public void onDeath(long requestHash, int serverHash, long sentNanos, long nowNanos) {
    Long previousNanos = lastDeathNanos.get(requestHash);
    if (previousNanos != null && sentNanos - previousNanos < 0) {
      return;
    }
    if (lastDeathNanos.size() >= MAX_REQUESTS) {
      lastDeathNanos.clear();
    }
    lastDeathNanos.put(requestHash, nowNanos);
    Heartbeat.CrashNote note = new Heartbeat.CrashNote(requestHash, serverHash);
    add(note, nowNanos);
    ownNotes.addLast(new OwnNote(note, nowNanos));
    if (ownNotes.size() > MAX_NOTES) {
      ownNotes.removeFirst();
    }
  }

  /** Takes in what another instance saw. */
  public void onNotes(List<Heartbeat.CrashNote> notes, long nowNanos) {
    notes.forEach(note -> add(note, nowNanos));
  }

  /** Clears a request that was answered in full. */
  public void onAnswered(long requestHash) {
    deathsByRequest.remove(requestHash);
    ownNotes.removeIf(own -> own.note().requestHash() == requestHash);
  }

  /** Returns whether a request may be sent to a server. */
  public boolean maySend(long requestHash, long nowNanos) {
    Deque<Death> deaths = deathsByRequest.get(requestHash);
    if (deaths == null || deaths.size() < DEATHS_TO_STOP) {
      return true;
    }
    long stopNanos = deaths.size() < DEATHS_TO_BAN ? STOP_NANOS : BAN_NANOS;
    return nowNanos - deaths.getLast().nanos() >= stopNanos;
  }

  /** Returns the newest own deaths, for heartbeats. */
  public List<Heartbeat.CrashNote> notes(long nowNanos) {
    ownNotes.removeIf(own -> nowNanos - own.sinceNanos() > REPEAT_NANOS);
    return ownNotes.stream().map(OwnNote::note).toList();
  }

  private void add(Heartbeat.CrashNote note, long nowNanos) {
    Deque<Death> deaths =
        deathsByRequest.computeIfAbsent(note.requestHash(), hash -> new ArrayDeque<>());
    boolean known =
        deaths.stream()
            .anyMatch(
                death ->
                    death.serverHash() == note.serverHash()
                        && nowNanos - death.nanos() < SAME_DEATH_NANOS);
    if (known) {
      return;
    }
    deaths.addLast(new Death(note.serverHash(), nowNanos));
    if (deaths.size() > DEATHS_TO_BAN) {
      deaths.removeFirst();
    }
  }
}
