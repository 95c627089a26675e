package org.bambooarch.core.config;

import java.util.List;
import org.bambooarch.core.peer.PeerMessage;

/** A message between instances that spreads the configuration. */
public sealed interface ConfigMessage extends PeerMessage {

  /** Age of a moment that the sender does not know. */
  long UNKNOWN_AGE_NANOS = -1;

  /**
   * Asks another instance what it knows of the head.
   *
   * @param number number that the answer repeats, so that the asker knows when it asked
   * @param appliedVersion version that the asker has in force
   */
  record HeadProbe(long number, long appliedVersion) implements ConfigMessage {}

  /**
   * Answers a probe. All ages are measured on the sender's monotonic clock when it answers.
   *
   * @param probeNumber number of the probe that is answered
   * @param appliedVersion version that the sender has in force
   * @param headVersion highest version that the sender knows to be accepted
   * @param headAgeNanos age of the last moment at which the table confirmed a head that the sender
   *     has in force, or {@link #UNKNOWN_AGE_NANOS}
   * @param observedOutageAgeNanos age of the last failed read of the table by the sender itself, if
   *     the sender runs in the region of the store, or {@link #UNKNOWN_AGE_NANOS}
   * @param attestedOutageAgeNanos age of the last moment at which enough instances beside the store
   *     found it down, or {@link #UNKNOWN_AGE_NANOS}
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
   * Carries accepted changes in version order without gaps.
   *
   * @param changes the changes
   */
  record Deltas(List<LoggedChange> changes) implements ConfigMessage {

    /** Copies the changes. */
    public Deltas {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Asks for the changes after a version.
   *
   * @param afterVersion version that the asker has in force
   */
  record PullDeltas(long afterVersion) implements ConfigMessage {}

  /**
   * Asks for a part of a snapshot.
   *
   * @param version version of the snapshot, or 0 for the newest that the receiver holds
   * @param offsetChars first character wanted
   */
  record PullSnapshot(long version, int offsetChars) implements ConfigMessage {}

  /**
   * Carries a part of a snapshot.
   *
   * @param version version of the snapshot
   * @param totalChars length of the whole snapshot in characters
   * @param offsetChars position of this part
   * @param text this part
   */
  record SnapshotPart(long version, int totalChars, int offsetChars, String text)
      implements ConfigMessage {}
}
