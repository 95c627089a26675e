package org.bambooarch.peer;

/**
 * State and counters of the connection that an instance opened to one peer, for the state dump.
 *
 * @param instance name of the peer
 * @param connected whether the connection is open and authenticated, so that messages can be sent
 *     on it
 * @param queuedBytes bytes of frames that are queued and not yet written
 * @param sentMessages messages written since the peer was added
 * @param sentBytes bytes of these messages, with length prefixes and authentication codes
 * @param droppedMessages messages dropped because the connection was lost, its queue was full, the
 *     write failed or the message was larger than a frame may be
 */
public record PeerStatus(
    String instance,
    boolean connected,
    long queuedBytes,
    long sentMessages,
    long sentBytes,
    long droppedMessages) {}
