package org.bambooarch.core.request.idempotency;

/**
 * A stored record with the version that the table service assigned to it.
 *
 * @param record the stored record
 * @param version version that the next conditional write must expect
 */
public record VersionedIdempotencyRecord(IdempotencyRecord record, long version) {}
