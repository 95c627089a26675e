package org.bambooarch.core.peer;

/**
 * A message between entry instances.
 *
 * <p>Each kind of message (membership, budgets, configuration, crash reports) has its own sealed
 * sub-interface; the peer module maps them to the wire format.
 */
public interface PeerMessage {}
