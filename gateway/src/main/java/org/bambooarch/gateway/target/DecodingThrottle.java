package org.bambooarch.gateway.target;

/**
 * Limits how many HTTP objects are decoded on one connection, so that a server that sends a body in
 * tiny chunks leaves the event loop to the other connections.
 *
 * <p>Reads of ordinary responses have few objects and are not limited.
 */
final class DecodingThrottle {

  /** Number of objects in one read up to which reading goes on at once. */
  private static final int MAX_UNLIMITED_OBJECTS = 256;

  /** Rate to which a connection is limited whose reads have more objects. */
  private static final long OBJECTS_PER_SECOND = 20_000;

  private int objects;

  /** Counts an object of the current read. */
  void onObject() {
    objects++;
  }

  /**
   * Ends the current read; returns for how long to read nothing, in nanoseconds, 0 for no pause.
   */
  long pauseNanosAfterRead() {
    int decoded = objects;
    objects = 0;
    return decoded <= MAX_UNLIMITED_OBJECTS ? 0 : decoded * 1_000_000_000L / OBJECTS_PER_SECOND;
  }
}
