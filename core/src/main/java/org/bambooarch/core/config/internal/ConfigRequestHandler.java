package org.bambooarch.core.config.internal;

import java.util.List;
import java.util.OptionalLong;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.ConfigTextCodec;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.core.peer.PeerSender;

/** Answers the questions of other instances. */
public final class ConfigRequestHandler {

  /** Most characters of changes in one message; four bytes each still fit into a frame. */
  public static final int MAX_BATCH_CHARS = SnapshotServer.MAX_PART_CHARS;

  private final ChangeLog log;
  private final PeerVersions peerVersions;
  private final FreshnessTracker freshness;
  private final PeerSender sender;
  private final SnapshotServer snapshots;

  /** Creates the answers from what this instance knows. */
  public ConfigRequestHandler(
      ChangeLog log,
      PeerVersions peerVersions,
      FreshnessTracker freshness,
      PeerSender sender,
      ConfigTextCodec codec) {
    this.log = log;
    this.peerVersions = peerVersions;
    this.freshness = freshness;
    this.sender = sender;
    this.snapshots = new SnapshotServer(codec);
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
    peerVersions.record(fromInstance, probe.appliedVersion());
    long observedOutageAgeNanos =
        observedOutageNanos.isPresent()
            ? nowNanos - observedOutageNanos.getAsLong()
            : ConfigMessage.UNKNOWN_AGE_NANOS;
    sender.send(
        fromInstance,
        new ConfigMessage.HeadStatement(
            probe.number(),
            log.version(),
            peerVersions.knownHeadVersion(),
            freshness.tableConfirmationAgeNanos(nowNanos),
            observedOutageAgeNanos,
            freshness.outageConfirmationAgeNanos(nowNanos)));
  }

  /** Answers with the changes after a version, or with a snapshot when they are not kept. */
  public void answerPull(String fromInstance, long afterVersion) {
    peerVersions.record(fromInstance, afterVersion);
    if (afterVersion >= log.version()) {
      return;
    }
    List<LoggedChange> changes = log.changesAfter(afterVersion, MAX_BATCH_CHARS);
    boolean fits =
        log.hasChangesAfter(afterVersion)
            && !changes.isEmpty()
            && changes.getFirst().text().length() <= MAX_BATCH_CHARS;
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
