package org.bambooarch.core.peer;

/**
 * Sends messages to other instances without waiting.
 *
 * <p>Delivery is not guaranteed: a message may be lost, repeated or overtaken. Decisions that use
 * it must stay safe in all three cases.
 */
@FunctionalInterface
public interface PeerSender {

  /**
   * Queues a message for another instance, or drops it when the instance cannot be reached.
   *
   * @param instance name of the receiving instance
   * @param message the message
   */
  void send(String instance, PeerMessage message);
}
