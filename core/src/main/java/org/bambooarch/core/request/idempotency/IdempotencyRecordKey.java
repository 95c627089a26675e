package org.bambooarch.core.request.idempotency;

/**
 * The key under which a non-idempotent request is recorded.
 *
 * @param customer name of the customer that sent the request
 * @param idempotencyKey value of the caller's {@code Idempotency-Key} header
 */
public record IdempotencyRecordKey(String customer, String idempotencyKey) {

  /** The most characters that an idempotency key may have. */
  public static final int MAX_KEY_CHARS = 128;

  /**
   * Returns the row key in the table of idempotency records.
   *
   * <p>It starts with the customer's name, so that customers cannot reach each other's rows.
   */
  public String rowKey() {
    return customer + "/" + idempotencyKey;
  }

  /** Returns whether a header value is a valid key: 1 to 128 visible ASCII characters. */
  public static boolean isWellFormed(String idempotencyKey) {
    if (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_KEY_CHARS) {
      return false;
    }
    return idempotencyKey.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }
}
