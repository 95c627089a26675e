package org.bambooarch.peer;

import org.bambooarch.core.peer.PeerMessage;

/** Receives messages of other instances on the control thread. */
@FunctionalInterface
public interface PeerMessageHandler {

  /**
   * Handles one message.
   *
   * @param fromInstance proven name of the sender
   * @param message the message
   */
  void onMessage(String fromInstance, PeerMessage message);
}
