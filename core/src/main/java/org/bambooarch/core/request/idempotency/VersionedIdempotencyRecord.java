package org.bambooarch.core.request.idempotency;

/**
 * A record together with the version that the table service gave it.
 *
 * @param record the record
 * @param version version to expect in the next conditional write
 */
public record VersionedIdempotencyRecord(IdempotencyRecord record, long version) {}
