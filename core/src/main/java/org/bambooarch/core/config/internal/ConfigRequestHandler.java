package org.bambooarch.core.config.internal;

import java.util.List;
import java.util.OptionalLong;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.ConfigText;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.core.peer.PeerSender;

/** Answers the questions of other instances. */
public final class PeerAnswers {

  /** Most characters of changes in one message; four bytes each still fit into a frame. */
  public static final int BATCH_CHARS = SnapshotServer.PART_CHARS;

  private final ChangeLog log;
  private final PeerClaims claims;
  private final Freshness freshness;
  private final PeerSender sender;
  private final SnapshotServer snapshots;

  /** Creates the answers from what this instance knows. */
  public PeerAnswers(
      ChangeLog log, PeerClaims claims, Freshness freshness, PeerSender sender, ConfigText text) {
    this.log = log;
    this.claims = claims;
    this.freshness = freshness;
    this.sender = sender;
    this.snapshots = new SnapshotServer(text);
  }

  /**
   * Answers a probe.
   *
   * @param observedOutageNanos when this instance, running beside the store, found it down
   */
  public void answerProbe(
      String fromInstance,
      ConfigMessage.HeadProbe probe,
      OptionalLong observedOutageNanos,
      long nowNanos) {
    claims.record(fromInstance, probe.appliedVersion());
    long outageAgeNanos =
        observedOutageNanos.isPresent()
            ? nowNanos - observedOutageNanos.getAsLong()
            : ConfigMessage.UNKNOWN_AGE_NANOS;
    sender.send(
        fromInstance,
        new ConfigMessage.HeadStatement(
            probe.number(),
            log.version(),
            claims.knownHeadVersion(),
            freshness.tableAgeNanos(nowNanos),
            outageAgeNanos,
            freshness.outageAgeNanos(nowNanos)));
  }

  /** Answers with the changes after a version, or with a snapshot when they are not kept. */
  public void answerPull(String fromInstance, long afterVersion) {
    claims.record(fromInstance, afterVersion);
    if (afterVersion >= log.version()) {
      return;
    }
    List<LoggedChange> changes = log.changesAfter(afterVersion, BATCH_CHARS);
    boolean fits =
        log.hasChangesAfter(afterVersion)
            && !changes.isEmpty()
            && changes.getFirst().text().length() <= BATCH_CHARS;
    if (fits) {
      sender.send(fromInstance, new ConfigMessage.Deltas(changes));
      return;
    }
    sender.send(fromInstance, snapshots.firstPart(log.state(), afterVersion + 1));
  }

  /** Answers with a part of a snapshot. */
  public void answerPull(String fromInstance, ConfigMessage.PullSnapshot pull) {
    sender.send(fromInstance, snapshots.part(log.state(), pull.version(), pull.offsetChars()));
  }
}
