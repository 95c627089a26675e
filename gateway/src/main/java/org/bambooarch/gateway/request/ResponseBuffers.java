package org.bambooarch.gateway.request;

/**
 * Memory for response bodies that are held until they are complete or the client has taken them,
 * which all requests of an instance share.
 *
 * <p>Used on the event loop only.
 */
public final class ResponseBuffers {

  /** Most bytes that are held: 16 MiB, which may take up to three times as much of the heap. */
  static final long MAX_BYTES = 16L * 1024 * 1024;

  private long heldBytes;

  /** Takes memory if there is enough; returns whether it was taken. */
  boolean tryTake(int bytes) {
    if (heldBytes + bytes > MAX_BYTES) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /** Gives back memory that was taken. */
  void release(long bytes) {
    heldBytes -= bytes;
  }

  /** Returns how many bytes are held. */
  public long heldBytes() {
    return heldBytes;
  }
}
