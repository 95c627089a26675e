package org.bambooarch.entry.request;

import org.bambooarch.core.key.KeyDigest;

/** Digests of callers' keys; the key itself is never stored or logged. */
public final class KeyDigests {

  private KeyDigests() {}

  /** Returns the SHA-256 digest of a key in lower-case hexadecimal. */
  public static String digestOf(String key) {
    return KeyDigest.of(key);
  }
}
