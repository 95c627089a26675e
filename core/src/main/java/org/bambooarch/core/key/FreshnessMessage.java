package org.bambooarch.core.key;

import org.bambooarch.core.peer.PeerMessage;

/** How instances confirm to each other which version of the configuration is the newest. */
public sealed interface FreshnessMessage extends PeerMessage {

  /** Returns the number of the question. */
  long question();

  /** Asks an instance beside the store for the newest version that it knows. */
  record AskHead(long question) implements FreshnessMessage {}

  /**
   * The store answered this instance.
   *
   * @param question number of the question
   * @param version newest accepted version
   * @param ageNanos time since the instance asked the store, in nanoseconds
   */
  record HeadSeen(long question, long version, long ageNanos) implements FreshnessMessage {}

  /**
   * The store does not answer this instance, which stands beside it.
   *
   * @param question number of the question
   * @param version newest accepted version that the instance saw before
   */
  record StoreSilent(long question, long version) implements FreshnessMessage {}
}
