package org.bambooarch.core.key;

/** The result of checking an API key. */
public sealed interface KeyCheckResult {

  /**
   * The key is valid.
   *
   * @param customer name of the customer that the key belongs to
   * @param digest {@link KeyDigest} of the key, for repeated checks while a response streams
   */
  record Accepted(String customer, String digest) implements KeyCheckResult {}

  /** The key was never issued or has been withdrawn. */
  record Rejected() implements KeyCheckResult {}

  /**
   * The instance's configuration is past its freshness deadline, so the key may have been withdrawn
   * (or issued) without the instance knowing.
   */
  record Stale() implements KeyCheckResult {}
}
