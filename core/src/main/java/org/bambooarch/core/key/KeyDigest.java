package org.bambooarch.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digests under which API keys are stored and looked up. */
public final class KeyDigest {

  private KeyDigest() {}

  /** Returns the SHA-256 digest of the UTF-8 bytes of a key, in lower-case hexadecimal. */
  public static String of(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is missing, but every Java platform must provide it", e);
    }
  }

  /** Compares two digests; the time it takes depends on their lengths only. */
  public static boolean equalsInConstantTime(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
  }
}
