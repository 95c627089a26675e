package org.bambooarch.peer;

/**
 * Counters of what an instance has received from all peers since its start, for the state dump.
 *
 * @param receivedMessages messages passed to the control executor
 * @param receivedBytes bytes of all frames after the handshake, with their length prefixes
 * @param unknownMessages ignored messages, of types that this version does not know
 * @param droppedMessages messages dropped because too many were waiting for the control executor or
 *     because it had shut down
 */
public record InboxStatus(
    long receivedMessages, long receivedBytes, long unknownMessages, long droppedMessages) {}
