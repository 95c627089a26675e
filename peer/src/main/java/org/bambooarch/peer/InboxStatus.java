package org.bambooarch.peer;

/**
 * What an instance received from all peers since its start, for the state dump.
 *
 * @param receivedMessages messages handed to the control thread
 * @param receivedBytes bytes of all frames
 * @param unknownMessages messages of types that this version does not know, which are ignored
 * @param droppedMessages messages dropped because the control thread was behind
 */
public record InboxStatus(
    long receivedMessages, long receivedBytes, long unknownMessages, long droppedMessages) {}
