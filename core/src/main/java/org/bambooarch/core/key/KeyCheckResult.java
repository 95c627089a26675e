package org.bambooarch.core.key;

/** The result of checking a key. */
public sealed interface KeyCheckResult {

  /**
   * The key is valid.
   *
   * @param customer name of the customer that the key belongs to
   * @param digest digest of the key, for checks while an answer streams
   */
  record Accepted(String customer, String digest) implements KeyCheckResult {}

  /** The key was never issued, or was withdrawn. */
  record Rejected() implements KeyCheckResult {}

  /** The instance cannot be sure that the key was not withdrawn. */
  record Stale() implements KeyCheckResult {}
}
