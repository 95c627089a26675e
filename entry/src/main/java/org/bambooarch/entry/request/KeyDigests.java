package org.bambooarch.entry.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests of callers' keys; the key itself is never stored or logged. */
public final class KeyDigests {

  private KeyDigests() {}

  /** Returns the SHA-256 digest of a key in lower-case hexadecimal. */
  public static String digestOf(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
