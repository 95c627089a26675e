package org.bambooarch.peer;

/**
 * What an instance knows of its connection to one peer, for the state dump.
 *
 * @param instance name of the peer
 * @param connected whether messages can be sent now
 * @param queuedBytes bytes accepted but not yet written
 * @param sentMessages messages written since the start
 * @param sentBytes bytes written since the start, frames included
 * @param droppedMessages messages dropped because the peer was away or its queue was full
 */
public record PeerStatus(
    String instance,
    boolean connected,
    long queuedBytes,
    long sentMessages,
    long sentBytes,
    long droppedMessages) {}
