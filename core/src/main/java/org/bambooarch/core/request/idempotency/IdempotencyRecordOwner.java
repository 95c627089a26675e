package org.bambooarch.core.request.idempotency;

/**
 * Identifies one copy of a request that an instance received; only the copy that owns the record
 * may dispatch the request.
 *
 * @param instance name of the entry instance that received the copy
 * @param incarnation number that differs at each start of the instance
 * @param attempt number that differs for each copy received in one incarnation
 */
public record IdempotencyRecordOwner(String instance, long incarnation, long attempt) {}
