package org.bambooarch.core.peer;

/**
 * Sends messages to other instances without blocking.
 *
 * <p>Delivery is not guaranteed: a message may be lost, delivered more than once, or delivered out
 * of order. Whatever a receiver decides from messages must be safe in all three cases.
 */
@FunctionalInterface
public interface PeerSender {

  /**
   * Queues a message for another instance, or drops it if the instance cannot be reached.
   *
   * @param instance name of the receiving instance
   * @param message the message
   */
  void send(String instance, PeerMessage message);
}
