package org.bambooarch.core.config;

import java.util.List;
import org.bambooarch.core.peer.PeerMessage;

/** A message between instances that replicates the configuration. */
public sealed interface ConfigMessage extends PeerMessage {

  /** Stands for an age that the sender does not know. */
  long UNKNOWN_AGE_NANOS = -1;

  /**
   * Asks another instance what it knows about the head, the newest committed version.
   *
   * @param number number that the answer repeats, so that the sender of the probe can look up when
   *     it sent it
   * @param appliedVersion version that the sender has applied
   */
  record HeadProbe(long number, long appliedVersion) implements ConfigMessage {}

  /**
   * Answers a probe. All ages are in nanoseconds, measured on the sender's monotonic clock when it
   * answers.
   *
   * @param probeNumber number of the answered probe
   * @param appliedVersion version that the sender has applied
   * @param headVersion highest version that the sender knows to be committed
   * @param headAgeNanos age of the latest read of the table that confirmed a head which the sender
   *     has applied, or {@link #UNKNOWN_AGE_NANOS}
   * @param observedOutageAgeNanos age of the sender's own latest failed read of the table, if the
   *     sender runs in the store's region and no later read succeeded, or {@link
   *     #UNKNOWN_AGE_NANOS}
   * @param attestedOutageAgeNanos age of the latest time at which enough instances in the store's
   *     region observed it to be down, or {@link #UNKNOWN_AGE_NANOS}
   */
  record HeadStatement(
      long probeNumber,
      long appliedVersion,
      long headVersion,
      long headAgeNanos,
      long observedOutageAgeNanos,
      long attestedOutageAgeNanos)
      implements ConfigMessage {}

  /**
   * Carries committed changes.
   *
   * @param changes the changes in order of version, without gaps
   */
  record Deltas(List<LoggedChange> changes) implements ConfigMessage {

    /** Copies the list, so that later changes to it do not show here. */
    public Deltas {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Requests the changes after a version.
   *
   * @param afterVersion version that the sender has applied
   */
  record PullDeltas(long afterVersion) implements ConfigMessage {}

  /**
   * Requests a part of a snapshot.
   *
   * @param version version of the snapshot, or 0 for the newest that the receiver holds
   * @param offsetChars index of the first requested character
   */
  record PullSnapshot(long version, int offsetChars) implements ConfigMessage {}

  /**
   * Carries a part of a snapshot.
   *
   * @param version version of the snapshot
   * @param totalChars length of the whole snapshot in characters
   * @param offsetChars index of the first character of this part
   * @param text the text of this part
   */
  record SnapshotPart(long version, int totalChars, int offsetChars, String text)
      implements ConfigMessage {}
}
