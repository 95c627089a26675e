package org.bambooarch.core.request.idempotency;

/**
 * The record of a non-idempotent request with an idempotency key, kept as a row of the table
 * service, so that the request runs at most once.
 *
 * @param digest digest of the method, path, query and body of the request
 * @param owner the copy of the request that may dispatch it
 * @param state what is known of its execution
 * @param expiresAtWallMillis wall-clock time in milliseconds from which the record may be deleted
 *     or replaced
 */
public record IdempotencyRecord(
    RequestDigest digest,
    IdempotencyRecordOwner owner,
    IdempotencyRecordState state,
    long expiresAtWallMillis) {

  /** How long a record is kept after its request started, in milliseconds: 24 hours. */
  public static final long RETENTION_MILLIS = 24L * 60 * 60 * 1000;

  /** Returns the same record in another state, with the same expiry. */
  public IdempotencyRecord withState(IdempotencyRecordState next) {
    return new IdempotencyRecord(digest, owner, next, expiresAtWallMillis);
  }
}
