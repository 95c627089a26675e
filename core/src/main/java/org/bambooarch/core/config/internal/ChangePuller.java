package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.ReplicationSettings;
import org.bambooarch.core.peer.PeerSender;

/**
 * Pulls changes that this instance misses from instances that have applied them, as single changes
 * or, where the source no longer retains these, as a snapshot in parts.
 */
public final class ChangePuller {

  private static final int MAX_ATTEMPTS_PER_PART = 8;

  private final ReplicationSettings settings;
  private final ChangeLog log;
  private final MemberTable members;
  private final PeerVersions peerVersions;
  private final PeerSender sender;
  private final RandomGenerator random;
  private final SnapshotDownload download = new SnapshotDownload();
  private long nextPullNanos;
  private int attemptsForPart;

  /** Creates the puller; the first pull may be sent at the given monotonic time. */
  public ChangePuller(
      ReplicationSettings settings,
      ChangeLog log,
      MemberTable members,
      PeerVersions peerVersions,
      PeerSender sender,
      RandomGenerator random,
      long nowNanos) {
    this.settings = settings;
    this.log = log;
    this.members = members;
    this.peerVersions = peerVersions;
    this.sender = sender;
    this.random = random;
    this.nextPullNanos = nowNanos;
  }

  /**
   * Sends the next pull if a change is missing and the interval since the last one is over. Gives
   * up a snapshot download after {@value #MAX_ATTEMPTS_PER_PART} attempts for the same part.
   */
  public void pull(long nowNanos) {
    if (peerVersions.knownHeadVersion() <= log.version() || nowNanos - nextPullNanos < 0) {
      return;
    }
    long intervalNanos = settings.pullIntervalNanos();
    nextPullNanos = nowNanos + intervalNanos - random.nextLong(intervalNanos / 4 + 1);
    if (download.isInProgress() && attemptsForPart < MAX_ATTEMPTS_PER_PART) {
      attemptsForPart++;
      pullNextPart();
      return;
    }
    download.reset();
    attemptsForPart = 0;
    pullFromRandomPeer();
  }

  /** Pulls from a random instance that is ahead, preferably one of this data centre. */
  private void pullFromRandomPeer() {
    List<String> sources = peerVersions.instancesAheadOf(log.version());
    List<String> local = new ArrayList<>(sources);
    local.retainAll(members.localPeers());
    List<String> preferred = local.isEmpty() ? sources : local;
    if (!preferred.isEmpty()) {
      pullFrom(preferred.get(random.nextInt(preferred.size())));
    }
  }

  /** Requests the changes after the applied version from one instance. */
  public void pullFrom(String source) {
    sender.send(source, new ConfigMessage.PullDeltas(log.version()));
  }

  private void pullNextPart() {
    sender.send(
        download.source(),
        new ConfigMessage.PullSnapshot(download.version(), download.nextOffsetChars()));
  }

  /**
   * Adds a received part of a snapshot and requests the next one; returns the whole text after the
   * last part. Parts of snapshots that are not newer than the applied version are ignored.
   */
  public Optional<String> addPart(String fromInstance, ConfigMessage.SnapshotPart part) {
    if (part.version() <= log.version()) {
      return Optional.empty();
    }
    int charsBefore = download.nextOffsetChars();
    download.add(fromInstance, part);
    boolean grew = download.nextOffsetChars() > charsBefore;
    Optional<String> completed = download.takeCompleted();
    if (grew && completed.isEmpty()) {
      attemptsForPart = 0;
      pullNextPart();
    }
    return completed;
  }
}
