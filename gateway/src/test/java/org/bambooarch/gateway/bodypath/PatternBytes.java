package org.bambooarch.gateway.bodypath;

/** Content of bodies that shows a lost, repeated or foreign part. */
final class PatternBytes {

  /** Prime, so that a shift by a power of two is seen. */
  private static final int PERIOD = 251;

  private PatternBytes() {}

  /** Returns a part of the body with this key, from a position on. */
  static byte[] part(String key, long position, int length) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = at(key.hashCode(), position + i);
    }
    return bytes;
  }

  /** Returns whether the bytes are the part of the body with this key from the position on. */
  static boolean matches(String key, long position, byte[] bytes) {
    int hash = key.hashCode();
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] != at(hash, position + i)) {
        return false;
      }
    }
    return true;
  }

  private static byte at(int hash, long position) {
    return (byte) (Math.floorMod(hash, PERIOD) + position % PERIOD);
  }
}
