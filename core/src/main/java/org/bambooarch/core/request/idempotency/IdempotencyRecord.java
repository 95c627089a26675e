package org.bambooarch.core.request.idempotency;

/**
 * The row that the table service keeps for a non-idempotent request.
 *
 * @param digest what the request asks for
 * @param owner the send that may dispatch it
 * @param state what is known of it
 * @param expiresAtWallMillis after this moment the record may be deleted or reused
 */
public record IdempotencyRecord(
    RequestDigest digest,
    IdempotencyRecordOwner owner,
    IdempotencyRecordState state,
    long expiresAtWallMillis) {

  /** How long a record is kept after its last write, in milliseconds: 24 hours. */
  public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1000;

  /** Returns the same record in another state. */
  public IdempotencyRecord withState(IdempotencyRecordState next) {
    return new IdempotencyRecord(digest, owner, next, expiresAtWallMillis);
  }
}
