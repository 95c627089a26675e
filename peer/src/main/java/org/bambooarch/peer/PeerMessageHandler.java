package org.bambooarch.peer;

import org.bambooarch.core.peer.PeerMessage;

/** Handles messages of other instances; called on the control executor, one call at a time. */
@FunctionalInterface
public interface PeerMessageHandler {

  /**
   * Handles one message.
   *
   * @param fromInstance authenticated name of the sender
   * @param message the decoded message
   */
  void onMessage(String fromInstance, PeerMessage message);
}
