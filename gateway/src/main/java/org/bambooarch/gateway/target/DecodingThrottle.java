package org.bambooarch.gateway.target;

/**
 * Limits how many HTTP objects are decoded on one connection, so that a server that sends a body in
 * tiny chunks leaves the event loop to the other connections.
 *
 * <p>A turn of the event loop with an ordinary response has few objects and is not limited.
 */
final class DecodingThrottle {

  /** Number of objects in one turn above which reading stops for a time. */
  private static final int MAX_UNLIMITED_OBJECTS = 256;

  /** Rate to which a connection is limited that has more objects in a turn. */
  private static final long OBJECTS_PER_SECOND = 20_000;

  private int objects;

  /** Counts an object of the current turn. */
  void onObject() {
    objects++;
  }

  /** Returns whether the connection must not be read again in this turn. */
  boolean isExceeded() {
    return objects > MAX_UNLIMITED_OBJECTS;
  }

  /** Ends the turn; returns the time in which its objects may be decoded, in nanoseconds. */
  long endTurn() {
    int decoded = objects;
    objects = 0;
    return decoded * 1_000_000_000L / OBJECTS_PER_SECOND;
  }
}
