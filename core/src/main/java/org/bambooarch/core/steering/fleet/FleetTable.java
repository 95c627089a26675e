package org.bambooarch.core.steering.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The other instances, as known from their heartbeats and from the platform's list.
 *
 * <p>An instance counts as live while its heartbeats arrive. An instance that fell silent is still
 * sent heartbeats for {@link #REMOVE_AFTER_NANOS}, and after that at a lower rate, so that both
 * sides find each other again after a network partition.
 *
 * <p>Not thread-safe.
 */
public final class FleetTable {

  /** Time between two heartbeats, in nanoseconds: 0.5 s. */
  public static final long HEARTBEAT_NANOS = 500_000_000L;

  /**
   * Silence after which an instance no longer counts as live, in nanoseconds: four heartbeats and a
   * half, 2.25 s.
   */
  public static final long LIVENESS_TIMEOUT_NANOS = 4 * HEARTBEAT_NANOS + HEARTBEAT_NANOS / 2;

  /**
   * Age of the last heartbeat above which the next one is missed, in nanoseconds: one interval, and
   * half of one for the length of a tick and delays between regions.
   */
  static final long MISSED_HEARTBEAT_NANOS = HEARTBEAT_NANOS + HEARTBEAT_NANOS / 2;

  /**
   * Silence for which an instance may still be alive behind a network partition, so that its demand
   * still counts, in nanoseconds: 10 s, as long as partitions last.
   */
  public static final long POSSIBLY_ALIVE_NANOS = 10_000_000_000L;

  /**
   * Silence after which an instance no longer counts as known, in nanoseconds. This minute is
   * longer than most network partitions.
   */
  public static final long REMOVE_AFTER_NANOS = 60_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final InstanceIdentity self;
  private final Map<String, Peer> peers = new HashMap<>();
  private final FormerInstances former = new FormerInstances();
  private boolean listRead;
  private long listReadNanos;

  /** The newest heartbeat of a run after which another run of the same instance was heard. */
  private record EarlierRun(Heartbeat newest, long heardNanos) {}

  private static final class Peer {
    private final Deque<EarlierRun> earlierRuns = new ArrayDeque<>();
    private InstanceIdentity identity;
    private Heartbeat newest;
    private long heardNanos;
    private long listedNanos;
    private boolean heard;
  }

  /** Creates a table without other instances. */
  public FleetTable(InstanceIdentity self) {
    this.self = self;
  }

  /** Returns this instance. */
  public InstanceIdentity self() {
    return self;
  }

  /** Records that all instances of the platform's list were passed to {@link #onListed}. */
  public void onListRead(long nowNanos) {
    if (!listRead) {
      listRead = true;
      listReadNanos = nowNanos;
    }
  }

  /** Returns whether the list of instances was read at least once. */
  public boolean isListRead() {
    return listRead;
  }

  /** Adds or updates an instance that the platform lists; ignores this instance. */
  public void onListed(InstanceIdentity instance, long nowNanos) {
    if (instance.name().equals(self.name())) {
      return;
    }
    Peer peer = peer(instance.name());
    if (peer.identity == null || peer.identity.incarnation() < instance.incarnation()) {
      peer.identity = instance;
    }
    peer.listedNanos = nowNanos;
  }

  /**
   * Records a heartbeat of another instance.
   *
   * @return false if it was ignored, because it came from an earlier run of a live instance or from
   *     this instance
   */
  public boolean onHeartbeat(Heartbeat heartbeat, long nowNanos) {
    InstanceIdentity sender = heartbeat.sender();
    if (sender.name().equals(self.name())) {
      return false;
    }
    Peer peer = peer(sender.name());
    boolean fromEarlierRun = peer.heard && sender.incarnation() < peer.identity.incarnation();
    if (fromEarlierRun && nowNanos - peer.heardNanos < LIVENESS_TIMEOUT_NANOS) {
      // A late datagram. After the silence, a lower number is a new run whose clock was set back.
      return false;
    }
    if (peer.heard && peer.newest.sender().incarnation() != sender.incarnation()) {
      peer.earlierRuns.addLast(new EarlierRun(peer.newest, peer.heardNanos));
    }
    peer.identity = sender;
    peer.newest = heartbeat;
    peer.heardNanos = nowNanos;
    peer.heard = true;
    return true;
  }

  private Peer peer(String name) {
    former.remove(name);
    return peers.computeIfAbsent(name, newName -> new Peer());
  }

  /** Removes instances that have been silent for longer than {@link #REMOVE_AFTER_NANOS}. */
  public void tick(long nowNanos) {
    Iterator<Peer> iterator = peers.values().iterator();
    while (iterator.hasNext()) {
      Peer peer = iterator.next();
      peer.earlierRuns.removeIf(run -> nowNanos - run.heardNanos() >= POSSIBLY_ALIVE_NANOS);
      if (nowNanos - lastSeenNanos(peer) > REMOVE_AFTER_NANOS) {
        iterator.remove();
        former.add(peer.identity, nowNanos);
      }
    }
  }

  private static long lastSeenNanos(Peer peer) {
    return peer.heard ? peer.heardNanos : peer.listedNanos;
  }

  /**
   * Returns the other instances to which a heartbeat is due, live or silent. It must be sent at
   * once, since it counts as sent.
   */
  public Collection<InstanceIdentity> takeHeartbeatRecipients(long nowNanos) {
    List<InstanceIdentity> recipients = new ArrayList<>(former.takeDue(nowNanos));
    peers.values().forEach(peer -> recipients.add(peer.identity));
    return recipients;
  }

  /** Returns the newest heartbeat of each other instance that is live. */
  public List<Heartbeat> liveHeartbeats(long nowNanos) {
    return heartbeatsWithin(LIVENESS_TIMEOUT_NANOS, nowNanos);
  }

  /**
   * Returns the newest heartbeat of each other instance that is live or may be alive behind a
   * network partition.
   */
  public List<Heartbeat> recentHeartbeats(long nowNanos) {
    return heartbeatsWithin(POSSIBLY_ALIVE_NANOS, nowNanos);
  }

  /**
   * Returns the newest heartbeats of runs of the other instances after which another run of the
   * same instance was heard, without those that are older than the given age or than {@link
   * #POSSIBLY_ALIVE_NANOS}.
   */
  public List<Heartbeat> heartbeatsOfEarlierRuns(long maxAgeNanos, long nowNanos) {
    long heardWithinNanos = Math.min(maxAgeNanos, POSSIBLY_ALIVE_NANOS);
    return peers.values().stream()
        .flatMap(peer -> peer.earlierRuns.stream())
        .filter(run -> nowNanos - run.heardNanos() < heardWithinNanos)
        .map(EarlierRun::newest)
        .toList();
  }

  /**
   * Returns the other instances that may be sending requests to servers: those that are live, that
   * may be alive behind a network partition, or that the platform has listed lately, without those
   * that have reported that they accept no requests or reach no server.
   */
  public List<InstanceIdentity> possibleSenders(long nowNanos) {
    List<InstanceIdentity> senders = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean mayBeAlive = nowNanos - lastSeenNanos(peer) < POSSIBLY_ALIVE_NANOS;
      boolean mayBeSending =
          !peer.heard || (acceptsRequests(peer, nowNanos) && !peer.newest.partitionedFromServers());
      if (mayBeAlive && mayBeSending) {
        senders.add(peer.identity);
      }
    }
    return senders;
  }

  /**
   * Returns the other live instances that are stopping and still accept requests, without those
   * that reach no server.
   */
  public List<StoppingInstance> stoppingInstances(long nowNanos) {
    List<StoppingInstance> stopping = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean live = peer.heard && nowNanos - peer.heardNanos < LIVENESS_TIMEOUT_NANOS;
      if (!live || peer.newest.takesCallers() || peer.newest.partitionedFromServers()) {
        continue;
      }
      if (acceptsRequests(peer, nowNanos)) {
        stopping.add(new StoppingInstance(peer.identity, acceptUntilNanos(peer)));
      }
    }
    return stopping;
  }

  private static boolean acceptsRequests(Peer peer, long nowNanos) {
    return peer.newest.takesCallers() || nowNanos - acceptUntilNanos(peer) < 0;
  }

  private static long acceptUntilNanos(Peer peer) {
    return peer.heardNanos + peer.newest.acceptsForMillis() * NANOS_PER_MILLI;
  }

  /** Returns whether another instance of the region was heard or listed lately, live or silent. */
  public boolean hasRecentInstance(String region, long nowNanos) {
    return peers.values().stream()
        .filter(peer -> nowNanos - lastSeenNanos(peer) < POSSIBLY_ALIVE_NANOS)
        .anyMatch(peer -> peer.identity.region().equals(region));
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
   * Returns whether an instance missed a heartbeat so recently that it may be alive behind a
   * network partition and admit requests without this instance knowing of them.
   */
  public boolean mayBePartitioned(long nowNanos) {
    return heartbeatsWithin(POSSIBLY_ALIVE_NANOS, nowNanos).size()
        > heartbeatsWithin(MISSED_HEARTBEAT_NANOS, nowNanos).size();
  }

  /**
   * Returns whether the list of instances was read and a heartbeat has come, after the given
   * moment, from each instance that may still be alive.
   */
  public boolean heardAllSince(long sinceNanos, long nowNanos) {
    return listRead
        && peers.values().stream()
            .filter(peer -> nowNanos - lastSeenNanos(peer) < POSSIBLY_ALIVE_NANOS)
            .allMatch(peer -> peer.heard && peer.heardNanos > sinceNanos);
  }

  /**
   * Returns whether instances that are not live can be taken for such that do not run. That holds
   * {@link #LIVENESS_TIMEOUT_NANOS} after the list of instances was read, or {@link
   * #MISSED_HEARTBEAT_NANOS} after it if each listed instance was heard: one that is stopping is
   * not listed any more but may accept requests, and one that has just started is not listed yet.
   * If no other instance is listed, all may be starting, so that the longer time counts.
   */
  public boolean knowsWhichAreLive(long nowNanos) {
    if (!listRead) {
      return false;
    }
    boolean allHeard = !peers.isEmpty() && peers.values().stream().allMatch(peer -> peer.heard);
    long sinceReadNanos = nowNanos - listReadNanos;
    return sinceReadNanos >= (allHeard ? MISSED_HEARTBEAT_NANOS : LIVENESS_TIMEOUT_NANOS);
  }

  /** Returns the number of known instances, live or silent, with this one. */
  public int knownInstances() {
    return peers.size() + 1;
  }

  /** Returns how many other instances of a region are known, and what they report. */
  public RegionCounts countOthersIn(String region, long nowNanos) {
    List<Peer> known =
        peers.values().stream().filter(peer -> peer.identity.region().equals(region)).toList();
    int unheard = (int) known.stream().filter(peer -> !peer.heard).count();
    List<Heartbeat> live =
        liveHeartbeats(nowNanos).stream()
            .filter(heartbeat -> heartbeat.sender().region().equals(region))
            .toList();
    List<Heartbeat> taking = live.stream().filter(Heartbeat::takesCallers).toList();
    int partitioned = (int) taking.stream().filter(Heartbeat::partitionedFromServers).count();
    return new RegionCounts(known.size(), unheard, live.size(), taking.size(), partitioned);
  }

  /** Returns the time since the last heartbeat of an instance, in ns; empty if there was none. */
  public Optional<Long> nanosSinceHeartbeat(String instance, long nowNanos) {
    Peer peer = peers.get(instance);
    return peer == null || !peer.heard ? Optional.empty() : Optional.of(nowNanos - peer.heardNanos);
  }
}
