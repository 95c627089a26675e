package org.bambooarch.peer;

import java.nio.charset.StandardCharsets;

/**
 * A secret that all instances of a fleet share and authenticate with.
 *
 * <p>{@link #toString} does not contain it, so that it does not get into logs and dumps.
 */
public final class Secret {

  private static final int MIN_BYTES = 16;

  private final byte[] bytes;

  private Secret(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Returns the secret whose bytes are the UTF-8 form of a text.
   *
   * @throws IllegalArgumentException if these are fewer than 16 bytes
   */
  public static Secret fromText(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (bytes.length < MIN_BYTES) {
      throw new IllegalArgumentException(
          "expected a shared secret of at least " + MIN_BYTES + " bytes, got " + bytes.length);
    }
    return new Secret(bytes);
  }

  /** Returns a copy of the bytes, which the caller may overwrite. */
  public byte[] bytes() {
    return bytes.clone();
  }

  @Override
  public String toString() {
    return "Secret[hidden]";
  }
}
