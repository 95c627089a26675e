package org.bambooarch.core.peer;

/**
 * A message between entry instances.
 *
 * <p>Each concern (membership, budget, configuration, crash reports) declares its own sealed
 * sub-interface; the peer module maps them to the wire format.
 */
public interface PeerMessage {}
