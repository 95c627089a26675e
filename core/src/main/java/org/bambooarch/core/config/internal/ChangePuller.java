package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.ReplicationSettings;
import org.bambooarch.core.peer.PeerSender;

/** Pulls changes that this instance misses from peers that say they have them. */
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

  /** Creates the puller; the first pull may be sent at the given moment. */
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

  /** Sends the next pull if a change is missing and the last pull is long enough ago. */
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

  private void pullFromRandomPeer() {
    List<String> sources = peerVersions.instancesAheadOf(log.version());
    List<String> near = new ArrayList<>(sources);
    near.retainAll(members.localPeers());
    List<String> preferred = near.isEmpty() ? sources : near;
    if (!preferred.isEmpty()) {
      pullFrom(preferred.get(random.nextInt(preferred.size())));
    }
  }

  /** Asks one peer for the changes after the version in force. */
  public void pullFrom(String source) {
    sender.send(source, new ConfigMessage.PullDeltas(log.version()));
  }

  private void pullNextPart() {
    sender.send(
        download.source(),
        new ConfigMessage.PullSnapshot(download.version(), download.nextOffsetChars()));
  }

  /** Adds a part of a snapshot; returns the completed text when it is the last part. */
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
