package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.SpreadSettings;
import org.bambooarch.core.peer.PeerSender;

/** Pulls changes that this instance misses from peers that say they have them. */
public final class GapFill {

  private static final int MAX_PULLS_OF_ONE_PART = 8;

  private final SpreadSettings settings;
  private final ChangeLog log;
  private final MemberTable members;
  private final PeerClaims claims;
  private final PeerSender sender;
  private final RandomGenerator random;
  private final SnapshotDownload download = new SnapshotDownload();
  private long nextPullNanos;
  private int pullsOfOnePart;

  /** Creates the puller; the first pull may be sent at the given moment. */
  public GapFill(
      SpreadSettings settings,
      ChangeLog log,
      MemberTable members,
      PeerClaims claims,
      PeerSender sender,
      RandomGenerator random,
      long nowNanos) {
    this.settings = settings;
    this.log = log;
    this.members = members;
    this.claims = claims;
    this.sender = sender;
    this.random = random;
    this.nextPullNanos = nowNanos;
  }

  /** Sends the next pull if a change is missing and the last pull is long enough ago. */
  public void pull(long nowNanos) {
    if (claims.knownHeadVersion() <= log.version() || nowNanos - nextPullNanos < 0) {
      return;
    }
    long intervalNanos = settings.pullIntervalNanos();
    nextPullNanos = nowNanos + intervalNanos - random.nextLong(intervalNanos / 4 + 1);
    if (download.isUnderWay() && pullsOfOnePart < MAX_PULLS_OF_ONE_PART) {
      pullsOfOnePart++;
      pullNextPart();
      return;
    }
    download.reset();
    pullsOfOnePart = 0;
    pullFromAnyone();
  }

  private void pullFromAnyone() {
    List<String> sources = claims.aheadOf(log.version());
    List<String> near = new ArrayList<>(sources);
    near.retainAll(members.neighbours());
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

  /** Adds a part of a snapshot; returns the whole text when it is the last part. */
  public Optional<String> receivePart(String fromInstance, ConfigMessage.SnapshotPart part) {
    if (part.version() <= log.version()) {
      return Optional.empty();
    }
    int sizeBefore = download.nextOffsetChars();
    download.add(fromInstance, part);
    boolean grew = download.nextOffsetChars() > sizeBefore;
    Optional<String> whole = download.takeWhole();
    if (grew && whole.isEmpty()) {
      pullsOfOnePart = 0;
      pullNextPart();
    }
    return whole;
  }
}
