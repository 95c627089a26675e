package org.bambooarch.core.steering.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The other instances, as far as their heartbeats and the platform's list tell.
 *
 * <p>An instance counts as live while its heartbeats arrive. One that fell silent still gets
 * heartbeats for a while, so that both ends find each other again after a cut.
 *
 * <p>Not thread-safe.
 */
public final class FleetTable {

  /** Time between two heartbeats, in nanoseconds. */
  public static final long HEARTBEAT_NANOS = 500_000_000L;

  /** Silence after which an instance counts as gone, in nanoseconds: four heartbeats. */
  public static final long LIVENESS_TIMEOUT_NANOS = 4 * HEARTBEAT_NANOS + HEARTBEAT_NANOS / 2;

  /**
   * Age of a heartbeat beyond which one was missed, in nanoseconds: one interval, and half of one
   * for ticks and delays between regions.
   */
  static final long MISSED_HEARTBEAT_NANOS = HEARTBEAT_NANOS + HEARTBEAT_NANOS / 2;

  /** Silence for which an instance's demand still counts, in nanoseconds: 10 s, as long as cuts. */
  public static final long POSSIBLY_ALIVE_NANOS = 10_000_000_000L;

  /** Silence after which heartbeats to an instance end, in nanoseconds: longer than most cuts. */
  public static final long REMOVE_AFTER_NANOS = 60_000_000_000L;

  private final InstanceIdentity self;
  private final Map<String, Peer> peers = new HashMap<>();
  private boolean listRead;

  private static final class Peer {
    private InstanceIdentity identity;
    private Heartbeat newest;
    private long heardNanos;
    private long listedNanos;
    private boolean heard;
  }

  /** Creates a table of no other instances. */
  public FleetTable(InstanceIdentity self) {
    this.self = self;
  }

  /** Returns this instance. */
  public InstanceIdentity self() {
    return self;
  }

  /** Notes that all listed instances have been taken in. */
  public void onListRead() {
    listRead = true;
  }

  /** Returns whether the list of instances has been read once. */
  public boolean isListRead() {
    return listRead;
  }

  /** Takes in an instance that the platform lists. */
  public void onListed(InstanceIdentity instance, long nowNanos) {
    if (instance.name().equals(self.name())) {
      return;
    }
    Peer peer = peers.computeIfAbsent(instance.name(), name -> new Peer());
    if (peer.identity == null || peer.identity.incarnation() < instance.incarnation()) {
      peer.identity = instance;
    }
    peer.listedNanos = nowNanos;
  }

  /** Takes in a heartbeat; returns whether it was of a live run and not of an earlier one. */
  public boolean onHeartbeat(Heartbeat heartbeat, long nowNanos) {
    InstanceIdentity sender = heartbeat.sender();
    if (sender.name().equals(self.name())) {
      return false;
    }
    Peer peer = peers.computeIfAbsent(sender.name(), name -> new Peer());
    boolean fromEarlierRun = peer.heard && sender.incarnation() < peer.identity.incarnation();
    if (fromEarlierRun && nowNanos - peer.heardNanos < LIVENESS_TIMEOUT_NANOS) {
      // A late datagram. After a silence it is a new run whose time of day was set back.
      return false;
    }
    peer.identity = sender;
    peer.newest = heartbeat;
    peer.heardNanos = nowNanos;
    peer.heard = true;
    return true;
  }

  /** Drops instances that have been silent for long. */
  public void tick(long nowNanos) {
    peers.values().removeIf(peer -> nowNanos - lastSeenNanos(peer) > REMOVE_AFTER_NANOS);
  }

  private static long lastSeenNanos(Peer peer) {
    return peer.heard ? peer.heardNanos : peer.listedNanos;
  }

  /** Returns all instances that get heartbeats. */
  public Collection<InstanceIdentity> heartbeatRecipients() {
    return peers.values().stream().map(peer -> peer.identity).toList();
  }

  /** Returns the newest heartbeats of the live instances. */
  public List<Heartbeat> liveHeartbeats(long nowNanos) {
    return heartbeatsWithin(LIVENESS_TIMEOUT_NANOS, nowNanos);
  }

  /** Returns the newest heartbeats of instances that are live or may be beyond a cut. */
  public List<Heartbeat> recentHeartbeats(long nowNanos) {
    return heartbeatsWithin(POSSIBLY_ALIVE_NANOS, nowNanos);
  }

  private List<Heartbeat> heartbeatsWithin(long nanos, long nowNanos) {
    List<Heartbeat> heard = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.heard && nowNanos - peer.heardNanos < nanos) {
        heard.add(peer.newest);
      }
    }
    return heard;
  }

  /**
   * Returns whether an instance fell silent so recently that it may be alive beyond a cut and admit
   * requests on its own.
   */
  public boolean mayBePartitioned(long nowNanos) {
    return heartbeatsWithin(POSSIBLY_ALIVE_NANOS, nowNanos).size()
        > heartbeatsWithin(MISSED_HEARTBEAT_NANOS, nowNanos).size();
  }

  /**
   * Returns whether the list of instances is known and each of them that may still be alive was
   * heard since a moment.
   */
  public boolean heardAllSince(long sinceNanos, long nowNanos) {
    return listRead
        && peers.values().stream()
            .filter(peer -> nowNanos - lastSeenNanos(peer) < POSSIBLY_ALIVE_NANOS)
            .allMatch(peer -> peer.heard && peer.heardNanos > sinceNanos);
  }

  /** Returns how many instances are known, this one included, live or silent. */
  public int knownInstances() {
    return peers.size() + 1;
  }

  /** Returns how long ago an instance was heard, in nanoseconds; empty if never. */
  public Optional<Long> nanosSinceHeartbeat(String instance, long nowNanos) {
    Peer peer = peers.get(instance);
    return peer == null || !peer.heard ? Optional.empty() : Optional.of(nowNanos - peer.heardNanos);
  }
}
